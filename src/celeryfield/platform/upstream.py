"""Client of the local upstream that uses the platform's headers."""

import asyncio
import dataclasses
import functools
from collections.abc import Callable

from celeryfield.internal.calls import (
    CallResult,
    Outcome,
    Reason,
    not_run_result,
    unknown_result,
)
from celeryfield.internal.clock import Clock
from celeryfield.internal.schema import wire
from celeryfield.internal.upstream import time_limits
from celeryfield.internal.upstream.connection import HttpRequest, HttpResponse
from celeryfield.internal.upstream.errors import (
    InvalidResponseError,
    ResponseLostError,
    ResponseTooLargeError,
    UpstreamConnectError,
)
from celeryfield.internal.upstream.pool import UpstreamPool
from celeryfield.platform import headers
from celeryfield.platform.settings import PlatformSettings

MISDIRECTED_STATUS = 421
MIN_FAILURE_STATUS = 400


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamLoad:
    """Load that an upstream reports with a response.

    Attributes:
        running: Requests running.
        waiting: Requests waiting.
        slots: Requests that it can run concurrently.
        slowdown: Current service time divided by the usual one.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float


class PlatformUpstream:
    """Sends calls to the local upstream.

    Args:
        settings: Settings written by the platform.
        clock: Time source.

    Attributes:
        load: Load that the upstream reported last.
        on_slowdown: Called with each slowdown that the upstream reports.
    """

    def __init__(self, settings: PlatformSettings, clock: Clock) -> None:
        self._clock = clock
        self._pool = UpstreamPool(clock, settings.response_bytes)
        self._upstream_id = ""
        self.load: UpstreamLoad | None = None
        self.on_slowdown: Callable[[float], None] = lambda _slowdown: None

    @property
    def has_free_slots(self) -> bool:
        """Whether the last reported load left slots free."""
        load = self.load
        return load is not None and load.running + load.waiting < load.slots

    def set_upstream(self, address: str, upstream_id: str) -> None:
        """Sends later calls to another upstream."""
        self._upstream_id = upstream_id
        self._pool.set_address(address)

    def close(self) -> None:
        """Closes all connections to the upstream."""
        self._pool.close()

    async def is_accepting(self) -> bool:
        """Returns whether the upstream accepts a new connection."""
        return await self._pool.is_accepting()

    async def request(
        self, call: wire.Call, body: bytes, _traceparent: str, timeout_ms: float
    ) -> CallResult:
        """Runs a call and reads the whole response.

        Args:
            call: The call.
            body: Body of the request.
            timeout_ms: Longest time for the whole response, in ms. The upstream
                is told a slightly shorter one.
        """
        if not self._pool.address:
            return not_run_result(Reason.NO_UPSTREAM)
        request = HttpRequest(
            call.method,
            call.path,
            self._headers(call, timeout_ms),
            body,
            call.request_id,
        )
        started_ms = self._clock.now_ms()
        is_own_response = functools.partial(_is_response_to, call.request_id)
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                response = await self._pool.send(
                    request, is_own_response, call.repeatable
                )
        except TimeoutError:
            return unknown_result(Reason.DEADLINE, 504)
        except UpstreamConnectError:
            return not_run_result(Reason.NO_UPSTREAM)
        except ResponseLostError:
            return unknown_result(Reason.CONNECTION_LOST, 502)
        except InvalidResponseError:
            return unknown_result(Reason.TRUNCATED, 502)
        except ResponseTooLargeError:
            return unknown_result(Reason.TOO_LARGE, 502)
        self._update_load(response.headers.get(headers.LOAD, ""))
        elapsed_ms = self._clock.now_ms() - started_ms
        return time_limits.mark_expired(
            _classify(response), timeout_ms, elapsed_ms
        )

    def _headers(
        self, call: wire.Call, timeout_ms: float
    ) -> list[tuple[str, str]]:
        pairs = headers.as_pairs(call.headers)
        limit_ms = time_limits.upstream_limit_ms(timeout_ms)
        pairs.append((headers.DEADLINE, str(limit_ms)))
        pairs.append((headers.TARGET, self._upstream_id))
        return pairs

    def _update_load(self, text: str) -> None:
        parts = text.split(",")
        if len(parts) >= 3 and all(part.strip().isdecimal() for part in parts):
            values = [int(part) for part in parts]
            slowdown = values[3] / 100.0 if len(values) > 3 else 1.0
            self.load = UpstreamLoad(*values[:3], slowdown)
            if len(values) > 3:
                self.on_slowdown(slowdown)


def _is_response_to(request_id: str, response: HttpResponse) -> bool:
    """Returns whether a response belongs to the request with an id.

    Upstreams repeat the id. A response without one may be a copy of the
    response to an earlier request on the same connection. It is accepted on a
    new connection, and as a refusal of a request without an id, which an
    upstream never runs.

    Raises:
        InvalidResponseError: It cannot be told.
    """
    response_id = response.headers.get(headers.REQUEST_ID)
    if response_id is not None:
        return response_id == request_id
    is_refusal = headers.NOT_EXECUTED in response.headers
    if response.is_on_new_connection or (is_refusal and not request_id):
        return True
    raise InvalidResponseError("a response without an id")


def _classify(response: HttpResponse) -> CallResult:
    """Returns the result of a call from its HTTP response."""
    status = response.status
    if status == MISDIRECTED_STATUS:
        return not_run_result(Reason.NO_UPSTREAM)
    if headers.NOT_EXECUTED in response.headers:
        return not_run_result(Reason.UPSTREAM_SHED)
    if headers.SIGNATURE not in response.headers:
        return unknown_result(Reason.UPSTREAM_ERROR, 502)
    response_headers = headers.forward_response_headers(response.headers)
    if status < MIN_FAILURE_STATUS:
        return CallResult(
            Outcome.OK,
            Reason.NONE,
            status,
            response_headers,
            response.body,
            started=True,
        )
    return CallResult(
        Outcome.FAILED,
        Reason.UPSTREAM_ERROR,
        status,
        response_headers,
        response.body,
        started=True,
    )
