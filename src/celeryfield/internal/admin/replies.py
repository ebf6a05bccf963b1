"""Requests and responses of the administration API as JSON models."""

import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pydantic
from aiohttp import web

from celeryfield.errors import CeleryfieldError
from celeryfield.internal.admin.models import ErrorAnswer, ErrorDetail

logger = logging.getLogger(__name__)

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_CODES_BY_STATUS = {
    404: "not-found",
    405: "method-not-allowed",
    413: "too-large",
}


class ApiError(CeleryfieldError):
    """An error response.

    Attributes:
        status: HTTP status.
        answer: Body of the response.
    """

    def __init__(self, status: int, answer: ErrorAnswer) -> None:
        super().__init__(answer.error.message)
        self.status = status
        self.answer = answer


def api_error(status: int, code: str, message: str, **fields) -> ApiError:
    """Returns an error to raise.

    Args:
        status: HTTP status.
        code: Error code for programs.
        message: Message for people.
        **fields: Further fields of ``ErrorAnswer``.
    """
    detail = ErrorDetail(code=code, message=message)
    return ApiError(status, ErrorAnswer(error=detail, **fields))


def model_response(model: pydantic.BaseModel, status: int = 200):
    """Returns a response with a model as JSON."""
    return web.Response(
        status=status,
        body=model.model_dump_json(by_alias=True).encode(),
        content_type="application/json",
    )


def error_response(status: int, code: str, message: str) -> web.Response:
    """Returns an error response in the format of the API."""
    return model_response(api_error(status, code, message).answer, status)


async def read_body(request: web.Request, model: type[ModelT]) -> ModelT:
    """Reads the body as a model; an empty body means all defaults.

    Raises:
        ApiError: The body is compressed or incomplete.
        pydantic.ValidationError: The body does not match the model.
    """
    # A truncated compressed body can decode to an empty one, which would mean
    # all defaults.
    if "content-encoding" in request.headers:
        message = "compressed bodies are not accepted; send plain JSON"
        raise api_error(415, "invalid", message)
    try:
        body = await request.read()
    except web.RequestPayloadError as error:
        message = "the body is incomplete; send it again"
        raise api_error(400, "invalid", message) from error
    return model.model_validate_json(body or b"{}")


def read_query(request: web.Request, model: type[ModelT]) -> ModelT:
    """Reads the query as a model.

    Raises:
        pydantic.ValidationError: The query does not match the model.
    """
    return model.model_validate(dict(request.query))


async def handle_errors(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Runs a handler and converts every error to a JSON response."""
    try:
        return await handler(request)
    except ApiError as error:
        return model_response(error.answer, error.status)
    except pydantic.ValidationError as error:
        return error_response(400, "invalid", _format_validation_error(error))
    except web.HTTPException as error:
        return _http_response(request, error)
    except Exception:
        logger.exception("administration request failed")
        return error_response(
            500,
            "internal",
            "the node failed to handle this request; see its log",
        )


def _format_validation_error(error: pydantic.ValidationError) -> str:
    """Returns all validation errors in one line."""
    reasons = []
    for details in error.errors(include_url=False):
        where = ".".join(map(str, details["loc"]))
        reasons.append(
            f"{where}: {details['msg']}" if where else details["msg"]
        )
    return "; ".join(reasons)


def _http_response(
    request: web.Request, error: web.HTTPException
) -> web.Response:
    """Converts an error of the HTTP library to a JSON response."""
    code = _CODES_BY_STATUS.get(error.status, "http")
    message = error.reason
    if error.status == 404:
        message = (
            f"unknown path {request.path}; /v1/openapi.json lists all paths"
        )
    elif error.status == 405:
        message = f"{request.path} does not accept {request.method}"
    elif error.status == 413:
        message = error.text or message
    response = error_response(error.status, code, message)
    if "allow" in error.headers:
        response.headers["allow"] = error.headers["allow"]
    return response
