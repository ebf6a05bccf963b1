"""Errors of the HTTP client of the upstream."""

from celeryfield.errors import CeleryfieldError


class UpstreamError(CeleryfieldError):
    """An exchange with the upstream that gave no whole answer."""


class UpstreamConnectError(UpstreamError):
    """No connection could be opened; nothing was sent."""


class ResponseLostError(UpstreamError):
    """The connection ended before the answer began; it may have run.

    Attributes:
        was_reused: The connection had carried an exchange before, so the
            upstream may have closed it before it read the request.
    """

    def __init__(self, message: str, was_reused: bool) -> None:
        super().__init__(message)
        self.was_reused = was_reused


class InvalidResponseError(UpstreamError):
    """The answer is not HTTP, or ended before it was whole."""


class ResponseTooLargeError(UpstreamError):
    """The answer exceeds the largest size that is accepted."""
