"""Decodes what requests of callers show in their heads."""

from aiohttp import web

from celeryfield.internal.routes.caller_gate import CallerClaim
from celeryfield.internal.routes.request_router import IncomingRequest
from celeryfield.internal.routes.workspaces import Workspace
from celeryfield.platform import headers


def read_id(request: web.BaseRequest) -> str:
    """Returns the id that the caller gave a request; empty if none."""
    return request.headers.get(headers.REQUEST_ID, "")


def read_claim(request: web.BaseRequest) -> CallerClaim:
    """Returns what a request shows about its caller."""
    request_id = read_id(request)
    return CallerClaim(
        request_id, _parent_id(request_id), headers.read_key(request.headers)
    )


def read_incoming(
    request: web.BaseRequest,
    service: str,
    workspace: Workspace | None,
    has_workspaces: bool,
    age_ms: float,
) -> IncomingRequest:
    """Returns an accepted request without its body.

    Args:
        request: The request.
        service: Service of this node, whose upstream or VM sent the request.
        workspace: Workspace of the caller; None if it needs no key.
        has_workspaces: Whether the configuration in force has workspaces.
        age_ms: Time since the request was received, in ms.
    """
    deadline = request.headers.get(headers.DEADLINE, "")
    is_number = deadline.isascii() and deadline.isdecimal()
    request_id = read_id(request)
    workspace_name = None
    # The configuration may have changed since the caller was accepted.
    if has_workspaces or workspace is not None:
        workspace_name = workspace.name if workspace else ""
    return IncomingRequest(
        request_id=request_id,
        parent_id=_parent_id(request_id),
        caller=service,
        method=request.method,
        path=request.raw_path,
        headers=tuple(
            headers.forward_request_headers(
                request.headers, service, workspace_name
            )
        ),
        deadline_ms=float(deadline) if is_number else None,
        age_ms=age_ms,
        workspace=workspace,
    )


def _parent_id(request_id: str) -> str:
    """Returns the id of the parent; ids of sub-calls are PARENT.SUFFIX."""
    return request_id.rpartition(".")[0]
