"""Errors of the HTTP client of the local upstream."""

from celeryfield.errors import CeleryfieldError


class UpstreamError(CeleryfieldError):
    """No complete response was received from the upstream."""


class UpstreamConnectError(UpstreamError):
    """No connection could be opened; nothing was sent."""


class ResponseLostError(UpstreamError):
    """The connection ended before the response; the request may have run.

    Attributes:
        was_reused: The connection had carried an exchange before, so the
            upstream may have closed it before it read the request.
    """

    def __init__(self, message: str, was_reused: bool) -> None:
        super().__init__(message)
        self.was_reused = was_reused


class InvalidResponseError(UpstreamError):
    """The response is malformed or truncated."""


class ResponseTooLargeError(UpstreamError):
    """The response exceeds the size limit or the memory of the pool."""
