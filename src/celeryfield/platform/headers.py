"""HTTP headers of the platform."""

from collections.abc import Iterable, Mapping

from celeryfield.internal.schema import wire

# Id of one attempt of a client; the server echoes it.
REQUEST_ID = "X-Attempt-Id"
# How long the sender waits, in ms.
DEADLINE = "X-Deadline-Ms"
# Id of the upstream that is meant; any other answers 421.
TARGET = "X-Target-Instance"
# Service of the VM where a request began.
CALLER = "X-Caller-Service"
# Proof that an upstream made the answer.
SIGNATURE = "X-Server-Signature"
# Running, waiting, slots and the pace of the VM in percent.
LOAD = "X-Server-Load"
# The upstream did not run the request.
NOT_EXECUTED = "X-Not-Executed"
# Id of the upstream that answered.
INSTANCE = "X-Instance-Id"
RETRY_AFTER = "Retry-After"

HOST = "Host"

# Headers that belong to one connection (RFC 9110, section 7.6.1), and those
# that a node sets itself.
_NOT_FORWARDED = frozenset(
    name.lower()
    for name in (
        "Connection",
        "Content-Length",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Expect",
        DEADLINE,
        TARGET,
        CALLER,
    )
)
# Headers of answers that mean nothing to callers, and the id of the request,
# which the first node knows.
_NOT_RETURNED = _NOT_FORWARDED | {
    name.lower() for name in (LOAD, INSTANCE, REQUEST_ID, "Date", "Server")
}


def forward_request_headers(
    headers: Mapping[str, str], caller: str
) -> list[wire.Header]:
    """Returns the headers of a request that an upstream receives."""
    forwarded = [
        wire.Header(name, value)
        for name, value in headers.items()
        if name.lower() not in _NOT_FORWARDED
    ]
    forwarded.append(wire.Header(CALLER, caller))
    return forwarded


def forward_response_headers(
    headers: Mapping[str, str],
) -> tuple[wire.Header, ...]:
    """Returns the headers of an answer that a caller receives."""
    return tuple(
        wire.Header(name, value)
        for name, value in headers.items()
        if name.lower() not in _NOT_RETURNED
    )


def as_pairs(headers: Iterable[wire.Header]) -> list[tuple[str, str]]:
    """Returns headers in the form that HTTP libraries take."""
    return [(header.name, header.value) for header in headers]
