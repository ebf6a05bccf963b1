"""HTTP client of the local upstream."""

import asyncio

import aiohttp

from celeryfield.internal.bodies import read_bounded
from celeryfield.internal.calls import (
    CallResult,
    Outcome,
    Reason,
    not_run_result,
    unknown_result,
)
from celeryfield.internal.clock import Clock
from celeryfield.internal.schema import settings as settings_schema
from celeryfield.internal.schema import wire
from celeryfield.internal.upstream import headers, time_limits
from celeryfield.internal.upstream.connector import CleanConnector

SHED_STATUS = 503
FIRST_ERROR_STATUS = 500
BODILESS_STATUSES = frozenset((204, 304))
CONNECT_CHECK_TIMEOUT_S = 0.5


class UpstreamClient:
    """Sends calls to the upstream over a bounded pool of connections.

    Args:
        settings: Settings of this node.
        clock: Time source.
    """

    def __init__(
        self, settings: settings_schema.NodeSettings, clock: Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None
        self._address = ""

    @property
    def has_free_slots(self) -> bool:
        """Whether the upstream is known to have free slots."""
        return False

    def set_upstream(self, address: str, connections: int) -> None:
        """Sets the address and the largest number of connections."""
        if address == self._address and self._session is not None:
            self._session.connector._limit = connections  # type: ignore
            return
        self._address = address
        previous = self._session
        self._session = aiohttp.ClientSession(
            connector=CleanConnector(limit=connections, keepalive_timeout=60),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None),
            skip_auto_headers=("user-agent", "accept-encoding"),
        )
        # By default the library retries a failed GET by itself. That retry
        # would not count against the retry allowance, and a call reported as
        # "not run" could have run.
        self._session._retry_connection = False
        if previous is not None:
            asyncio.ensure_future(previous.close())  # noqa: RUF006

    async def close(self) -> None:
        """Closes all connections to the upstream."""
        if self._session is not None:
            await self._session.close()

    async def is_accepting(self) -> bool:
        """Returns whether the upstream accepts a new connection."""
        host, _, port = self._address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_CHECK_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    async def request(
        self, call: wire.Call, body: bytes, traceparent: str, timeout_ms: float
    ) -> CallResult:
        """Sends a call and reads the whole response.

        Args:
            call: Call to send.
            body: Body of the request.
            traceparent: Value of the trace header that identifies the call.
            timeout_ms: Time limit, in ms; the upstream is told a slightly
                shorter one.
        """
        if self._session is None:
            return not_run_result(Reason.NO_UPSTREAM)
        request_headers = headers.as_pairs(call.headers)
        request_headers.append((headers.WORKSPACE, call.workspace))
        request_headers.append((headers.TRACEPARENT, traceparent))
        limit_ms = time_limits.upstream_limit_ms(timeout_ms)
        request_headers.append((headers.TIMEOUT, str(limit_ms)))
        if call.idempotency_key:
            request_headers.append(
                (headers.IDEMPOTENCY_KEY, call.idempotency_key)
            )
        started_ms = self._clock.now_ms()
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                result = await self._exchange(call, body, request_headers)
        except TimeoutError:
            return unknown_result(Reason.DEADLINE, 504)
        except aiohttp.ClientConnectorError:
            return not_run_result(Reason.NO_UPSTREAM)
        except (aiohttp.ClientPayloadError, aiohttp.ClientResponseError):
            return unknown_result(Reason.TRUNCATED, 502)
        except (aiohttp.ClientError, OSError, ValueError):
            return unknown_result(Reason.CONNECTION_LOST, 502)
        elapsed_ms = self._clock.now_ms() - started_ms
        return time_limits.mark_expired(result, timeout_ms, elapsed_ms)

    async def _exchange(
        self,
        call: wire.Call,
        request_body: bytes,
        request_headers: list[tuple[str, str]],
    ) -> CallResult:
        limit = self._settings.listen.max_body_bytes
        async with self._session.request(
            call.method,
            f"http://{self._address}{call.path}",
            headers=request_headers,
            data=request_body or None,
            allow_redirects=False,
        ) as response:
            if _is_close_delimited(call.method, response):
                response.close()
                return unknown_result(Reason.TRUNCATED, 502)
            body = await _read_body(response, limit)
            if body is None:
                response.close()
                return unknown_result(Reason.TOO_LARGE, 502)
            return _call_result(response, body)


def _is_close_delimited(method: str, response: aiohttp.ClientResponse) -> bool:
    """Returns whether only the end of the connection marks the body's end.

    Such a body may be truncated without a sign of it.
    """
    if method == "HEAD" or response.status in BODILESS_STATUSES:
        return False
    encodings = ",".join(response.headers.getall("transfer-encoding", ()))
    # Only chunks as the last encoding mark the end (RFC 9112, section 6.3).
    is_chunked = encodings.rpartition(",")[2].strip().lower() == "chunked"
    return response.content_length is None and not is_chunked


async def _read_body(
    response: aiohttp.ClientResponse, limit: int
) -> bytes | None:
    """Returns the whole body, or None if it exceeds the limit in bytes."""
    length = response.content_length
    if length is None:
        return await read_bounded(response.content, limit)
    return await response.read() if length <= limit else None


def _call_result(response: aiohttp.ClientResponse, body: bytes) -> CallResult:
    status = response.status
    response_headers = headers.forwarded(response.headers)
    if response.headers.get(headers.UPSTREAM_OUTCOME) == Outcome.NOT_RUN:
        return CallResult(
            Outcome.NOT_RUN,
            Reason.UPSTREAM_SHED,
            status,
            response_headers,
            body,
        )
    if status < FIRST_ERROR_STATUS:
        return CallResult(
            Outcome.OK,
            Reason.NONE,
            status,
            response_headers,
            body,
            started=True,
        )
    reason = (
        Reason.UPSTREAM_SHED if status == SHED_STATUS else Reason.UPSTREAM_ERROR
    )
    return CallResult(
        Outcome.FAILED, reason, status, response_headers, body, started=True
    )
