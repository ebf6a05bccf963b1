"""HTTP headers of the platform."""

from collections.abc import Iterable, Mapping

from multidict import CIMultiDictProxy

from celeryfield.internal.schema import wire

# Id of one attempt by a caller; the response repeats it.
REQUEST_ID = "X-Attempt-Id"
# Time for which the sender waits for a response. Unit: ms.
DEADLINE = "X-Deadline-Ms"
# Id of the intended upstream; any other upstream answers 421.
TARGET = "X-Target-Instance"
# Service of the VM whose node received the request first.
CALLER = "X-Caller-Service"
# Signature of the upstream that produced the response.
SIGNATURE = "X-Server-Signature"
# Comma-separated: requests running, requests waiting, slots and, optionally,
# the slowdown of the VM in percent.
LOAD = "X-Server-Load"
# The upstream did not run the request.
NOT_EXECUTED = "X-Not-Executed"
# Id of the upstream that sent the response.
INSTANCE = "X-Instance-Id"
RETRY_AFTER = "Retry-After"
# Key of the caller, as ``Bearer KEY``.
AUTHORIZATION = "Authorization"
# Workspace of the caller; set by the node that received the request.
WORKSPACE = "X-Tenant"
# Names the scheme of keys in a 401 response.
AUTHENTICATE = "WWW-Authenticate"

HOST = "Host"

# Hop-by-hop headers (RFC 9110, section 7.6.1) and those that a node sets
# itself.
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
# Response headers that are of no use to callers. The node that received the
# request sets the request id again.
_NOT_RETURNED = _NOT_FORWARDED | {
    name.lower() for name in (LOAD, INSTANCE, REQUEST_ID, "Date", "Server")
}


_KEY_SCHEME = "bearer"
# Not forwarded if the configuration has workspaces.
_CALLER_HEADERS = frozenset((AUTHORIZATION.lower(), WORKSPACE.lower()))


def forward_request_headers(
    headers: Mapping[str, str], caller: str, workspace: str | None = None
) -> list[wire.Header]:
    """Returns the request headers to send to an upstream.

    Args:
        headers: Headers as received.
        caller: Service to name in the caller header.
        workspace: Workspace to name, empty for none; None if the configuration
            has no workspaces, so that these headers belong to the application.
    """
    excluded = _NOT_FORWARDED
    if workspace is not None:
        excluded = excluded | _CALLER_HEADERS
    forwarded = [
        wire.Header(name, value)
        for name, value in headers.items()
        if name.lower() not in excluded
    ]
    forwarded.append(wire.Header(CALLER, caller))
    if workspace:
        forwarded.append(wire.Header(WORKSPACE, workspace))
    return forwarded


def read_key(headers: CIMultiDictProxy[str]) -> str | None:
    """Returns the key of a caller, or None without one.

    Several credentials are none: another reader might take another one.
    """
    values = headers.getall(AUTHORIZATION, ())
    if len(values) != 1:
        return None
    scheme, _, key = values[0].partition(" ")
    if scheme.lower() != _KEY_SCHEME:
        return None
    return key.strip() or None


def forward_response_headers(
    headers: Mapping[str, str],
) -> tuple[wire.Header, ...]:
    """Returns the response headers to send to a caller."""
    return tuple(
        wire.Header(name, value)
        for name, value in headers.items()
        if name.lower() not in _NOT_RETURNED
    )


def as_pairs(headers: Iterable[wire.Header]) -> list[tuple[str, str]]:
    """Returns headers as name-value pairs."""
    return [(header.name, header.value) for header in headers]
