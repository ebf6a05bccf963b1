"""HTTP headers of calls and their responses."""

from collections.abc import Iterable, Mapping

from celeryfield.internal.schema import wire

WORKSPACE = "x-workspace"
TIMEOUT = "x-request-timeout-ms"
IDEMPOTENCY_KEY = "idempotency-key"
TRACEPARENT = "traceparent"
OUTCOME = "x-celeryfield-outcome"
REASON = "x-celeryfield-reason"
CALL_ID = "x-celeryfield-call-id"
# An upstream sets this header to "not-run" if it sheds a request before it
# runs. The name differs from OUTCOME because an upstream may copy that header
# by mistake from the response to one of its own calls.
UPSTREAM_OUTCOME = "x-upstream-outcome"

# Headers that belong to one connection (RFC 9110, section 7.6.1), and those
# that a node sets itself.
_NOT_FORWARDED = frozenset(
    (
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        CALL_ID,
        IDEMPOTENCY_KEY,
        OUTCOME,
        REASON,
        WORKSPACE,
        TIMEOUT,
        TRACEPARENT,
        UPSTREAM_OUTCOME,
    )
)


def forwarded(headers: Mapping[str, str]) -> tuple[wire.Header, ...]:
    """Returns the headers that are forwarded with a call or its response."""
    return tuple(
        [
            wire.Header(name, value)
            for name, value in headers.items()
            if name.lower() not in _NOT_FORWARDED
        ]
    )


def as_pairs(headers: Iterable[wire.Header]) -> list[tuple[str, str]]:
    """Returns headers as pairs of name and value."""
    return [(header.name, header.value) for header in headers]
