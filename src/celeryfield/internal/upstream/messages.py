"""Requests to the upstream and its responses."""

import dataclasses
import re
from collections.abc import Callable

from multidict import CIMultiDict

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d{3}")
_STATUS_LINE_BEGIN_AT_END = re.compile(
    rb"(?:H|HT|HTT|HTTP|HTTP/[\d.]*(?: \d*)?)\Z"
)


@dataclasses.dataclass(slots=True)
class HttpRequest:
    """A request to the upstream.

    Attributes:
        method: HTTP method.
        target: Path with its query, as sent.
        headers: Headers in the order in which they are sent.
        body: Whole request body.
        request_id: Id that the upstream repeats in its response; empty if
            there is none.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes = b""
    request_id: str = ""

    def encode(self) -> bytes:
        """Returns the bytes of the request."""
        return self.encode_head() + self.body

    def encode_head(self) -> bytes:
        """Returns the bytes of the request before its body."""
        lines = [f"{self.method} {self.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        if self.body or self.method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(self.body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("utf-8", "surrogateescape")


@dataclasses.dataclass(slots=True)
class HttpResponse:
    """A complete response of the upstream.

    Attributes:
        status: HTTP status.
        headers: Response headers.
        body: Whole response body.
        is_on_new_connection: The connection has carried no other request, so
            that the response can only belong to the current one.
    """

    status: int
    headers: CIMultiDict[str]
    body: bytes
    is_on_new_connection: bool = True


ResponseMatcher = Callable[[HttpResponse], bool]
"""Returns whether a response belongs to the current request.

Raises InvalidResponseError if that cannot be told.
"""


def contains_status_line(data: bytes) -> bool:
    """Returns whether the bytes contain a status line."""
    return b"HTTP/1." in data and _STATUS_LINE.search(data) is not None


def may_contain_response(body: bytes) -> bool:
    """Returns whether a body contains a status line or ends within one."""
    if contains_status_line(body):
        return True
    return _STATUS_LINE_BEGIN_AT_END.search(body[-16:]) is not None
