"""Client of the administration API, used by the commands."""

import dataclasses
import pathlib
import ssl
from typing import NoReturn, TypeVar

import aiohttp
import pydantic
from expression import Error, Ok, Result

from celeryfield.cli.exits import ExitCode, exit_with_errors
from celeryfield.internal.admin.models import ErrorAnswer
from celeryfield.internal.bodies import read_bounded

# An apply takes at most a few store timeouts.
REQUEST_TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 5.0
MAX_RESPONSE_BYTES = 16_777_216

_EXIT_CODES_BY_STATUS = {
    401: ExitCode.DENIED,
    409: ExitCode.CONFLICT,
    422: ExitCode.INVALID,
    503: ExitCode.UNAVAILABLE,
    504: ExitCode.UNKNOWN,
}

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)


@dataclasses.dataclass(slots=True)
class Failure:
    """A request that failed.

    Attributes:
        code: Exit code of the command.
        message: Error message of one line.
        status: HTTP status, or 0 without a valid response of the API.
        api_error: Error that the API returned, if any.
    """

    code: ExitCode
    message: str
    status: int = 0
    api_error: ErrorAnswer | None = None

    def lines(self) -> list[str]:
        """Returns the error lines to print: the problems or the message."""
        if self.api_error is None:
            return [self.message]
        problems = [str(problem) for problem in self.api_error.problems]
        return problems or [self.message]


class AdminClient:
    """Sends requests to the administration listener of one node.

    Ends the command if the URL is not an HTTP URL or the CA file cannot be
    loaded.

    Args:
        url: Base URL of the listener.
        token: Bearer token; empty to send none.
        ca_file: CA certificate that signed the node's certificate, or None
            for the default trust store.
    """

    def __init__(
        self, url: str, token: str, ca_file: pathlib.Path | None
    ) -> None:
        self._url = url.rstrip("/")
        self._token = token
        self._ssl_context = _ssl_context(ca_file)
        self._session: aiohttp.ClientSession | None = None
        if not self._url.startswith(("http://", "https://")):
            exit_with_errors(
                ExitCode.USAGE, [f"--admin {url!r} is not an http(s) URL"]
            )

    async def __aenter__(self) -> "AdminClient":
        """Opens the session."""
        headers = {}
        if self._token:
            headers["authorization"] = f"Bearer {self._token}"
        self._session = aiohttp.ClientSession(
            headers=headers,
            timeout=aiohttp.ClientTimeout(
                total=REQUEST_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
            ),
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        """Closes the session."""
        if self._session is not None:
            await self._session.close()

    async def get(
        self,
        path: str,
        model: type[ModelT],
        query: dict[str, str] | None = None,
    ) -> Result[ModelT, Failure]:
        """Sends a read-only request.

        A lost response is reported as ``UNAVAILABLE``, since nothing was
        changed.
        """
        return await self._request("GET", path, model, query or {}, b"")

    async def post(
        self, path: str, model: type[ModelT], body: pydantic.BaseModel
    ) -> Result[ModelT, Failure]:
        """Sends a request that makes a change.

        A lost response is reported as ``UNKNOWN``, since the change may have
        been made.
        """
        content = body.model_dump_json().encode()
        return await self._request("POST", path, model, {}, content)

    async def _request(
        self,
        method: str,
        path: str,
        model: type[ModelT],
        query: dict[str, str],
        body: bytes,
    ) -> Result[ModelT, Failure]:
        try:
            # Following a redirect could send the token to another host.
            async with self._session.request(
                method,
                self._url + path,
                params=query,
                data=body or None,
                headers={"content-type": "application/json"},
                ssl=self._ssl_context,
                allow_redirects=False,
            ) as response:
                content = await _read_body(response)
                return self._decode(method, response.status, content, model)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return Error(self._unreachable_node(error))
        except ValueError as error:
            # aiohttp rejected the URL or the token. Certificate errors are
            # also ValueErrors, but were handled as connector errors above.
            message = f"{self._url} or the token cannot be used: {error}"
            return Error(Failure(ExitCode.USAGE, message))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Error(
                self._unusable_response(
                    method, str(error) or "no response in time"
                )
            )

    def _unreachable_node(self, error: Exception) -> Failure:
        message = f"cannot reach the node at {self._url}: {error}"
        if isinstance(error, aiohttp.ClientSSLError):
            message += "; check --ca and the host name"
        return Failure(ExitCode.UNAVAILABLE, message)

    def _unusable_response(self, method: str, reason: str) -> Failure:
        """Returns the failure of a request without a usable response."""
        message = f"no usable response from {self._url}: {reason}"
        if method == "GET":
            return Failure(ExitCode.UNAVAILABLE, message)
        message += "; the change may have been made or not"
        return Failure(ExitCode.UNKNOWN, message)

    def _decode(
        self, method: str, status: int, content: bytes, model: type[ModelT]
    ) -> Result[ModelT, Failure]:
        """Decodes a response or an error of the API."""
        try:
            if status < 300:
                return Ok(model.model_validate_json(content))
            response = ErrorAnswer.model_validate_json(content)
        except pydantic.ValidationError:
            reason = f"status {status} with an unexpected body"
            return Error(self._unusable_response(method, reason))
        code = _EXIT_CODES_BY_STATUS.get(status, ExitCode.FAILED)
        message = response.error.message
        return Error(Failure(code, message, status, response))


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    """Reads the body of a response.

    Raises:
        ClientPayloadError: The body exceeds ``MAX_RESPONSE_BYTES``.
    """
    body = await read_bounded(response.content, MAX_RESPONSE_BYTES)
    if body is None:
        raise aiohttp.ClientPayloadError(
            f"more than {MAX_RESPONSE_BYTES} bytes"
        )
    return body


def _ssl_context(ca_file: pathlib.Path | None) -> ssl.SSLContext | bool:
    """Returns a context that trusts a CA, or True for the default trust store.

    Ends the command if the file cannot be loaded.
    """
    if ca_file is None:
        return True
    try:
        return ssl.create_default_context(cafile=str(ca_file))
    except (OSError, ssl.SSLError) as error:
        exit_with_errors(
            ExitCode.USAGE, [f"--ca {ca_file} cannot be loaded: {error}"]
        )


def exit_with_failure(failure: Failure) -> NoReturn:
    """Prints the error lines of a failure and ends the command."""
    exit_with_errors(failure.code, failure.lines())
