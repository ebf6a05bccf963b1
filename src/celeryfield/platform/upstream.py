"""HTTP client of the upstream beside this node."""

import asyncio
import dataclasses

import aiohttp
import yarl
from multidict import CIMultiDict

from celeryfield.internal.bodies import read_bounded
from celeryfield.internal.calls import CallResult, Outcome, Reason, not_run
from celeryfield.internal.schema import wire
from celeryfield.platform import headers

MAX_ANSWER_BYTES = 64 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.5
# Shorter than the time after which upstreams close idle connections.
IDLE_KEEP_S = 8.0


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamLoad:
    """Load that an upstream reports with an answer.

    Attributes:
        running: Requests running.
        waiting: Requests waiting.
        slots: Requests it runs at once.
        pace: Time that work takes now relative to the usual time.
    """

    running: int
    waiting: int
    slots: int
    pace: float


class PlatformUpstream:
    """Sends calls to the local upstream.

    Attributes:
        load: Newest load that the upstream reported.
    """

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None
        self._address = ""
        self._upstream_id = ""
        self.load: UpstreamLoad | None = None

    def set_upstream(
        self, address: str, upstream_id: str, connections: int
    ) -> None:
        """Points the client at an upstream."""
        self._upstream_id = upstream_id
        if address == self._address and self._session is not None:
            return
        self._address = address
        previous = self._session
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=connections, keepalive_timeout=IDLE_KEEP_S
            ),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S
            ),
            skip_auto_headers=("user-agent", "accept-encoding", "accept"),
        )
        # The library would send a failed GET a second time on its own, which
        # neither the retry allowance nor "not run" could account for.
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
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    async def request(
        self, call: wire.Call, body: bytes, _traceparent: str, timeout_ms: float
    ) -> CallResult:
        """Runs a call; the whole answer is read before it is returned."""
        if self._session is None:
            return not_run(Reason.NO_UPSTREAM)
        request_headers = CIMultiDict(headers.as_pairs(call.headers))
        request_headers[headers.DEADLINE] = str(max(int(timeout_ms), 1))
        request_headers[headers.TARGET] = self._upstream_id
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                return await self._exchange(call, body, request_headers)
        except TimeoutError:
            return _unknown(Reason.DEADLINE, 504)
        except aiohttp.ClientConnectorError:
            return not_run(Reason.NO_UPSTREAM)
        except (aiohttp.ClientPayloadError, aiohttp.ClientResponseError):
            return _unknown(Reason.TRUNCATED, 502)
        except (aiohttp.ClientError, OSError, ValueError):
            return _unknown(Reason.CONNECTION_LOST, 502)

    async def _exchange(
        self,
        call: wire.Call,
        request_body: bytes,
        request_headers: CIMultiDict[str],
    ) -> CallResult:
        url = yarl.URL(f"http://{self._address}{call.path}", encoded=True)
        async with self._session.request(
            call.method,
            url,
            headers=request_headers,
            data=request_body or None,
            allow_redirects=False,
        ) as response:
            body = await read_bounded(response.content, MAX_ANSWER_BYTES)
            if body is None:
                response.close()
                return _unknown(Reason.TOO_LARGE, 502)
            self._note_load(response.headers.get(headers.LOAD, ""))
            return _classify(call, response, body)

    def _note_load(self, text: str) -> None:
        parts = text.split(",")
        if len(parts) >= 3 and all(part.strip().isdecimal() for part in parts):
            figures = [int(part) for part in parts]
            pace = figures[3] / 100.0 if len(figures) > 3 else 1.0
            self.load = UpstreamLoad(*figures[:3], pace)


def _unknown(reason: Reason, status: int) -> CallResult:
    return CallResult(Outcome.UNKNOWN, reason, status, started=True)


def _classify(
    call: wire.Call, response: aiohttp.ClientResponse, body: bytes
) -> CallResult:
    """Says what an answer means for the call."""
    status = response.status
    if headers.NOT_EXECUTED in response.headers or status == 421:
        reason = Reason.NO_UPSTREAM if status == 421 else Reason.UPSTREAM_SHED
        return not_run(reason)
    if response.headers.get(headers.REQUEST_ID, "") != call.request_id:
        response.close()
        return _unknown(Reason.MISMATCH, 502)
    if headers.SIGNATURE not in response.headers:
        return _unknown(Reason.UPSTREAM_ERROR, 502)
    answer_headers = headers.returned(response.headers)
    outcome = Outcome.OK if status < 400 else Outcome.FAILED
    reason = Reason.NONE if status < 400 else Reason.UPSTREAM_ERROR
    return CallResult(
        outcome, reason, status, answer_headers, body, started=True
    )
