"""Open-loop callers that retry hard."""

import asyncio
import collections
import dataclasses
import random
import time
from collections.abc import Callable

import aiohttp

from bench.shapes import Flow

ATTEMPTS = 4
RETRY_GAP_S = 0.05
KEY_REQUIRED = 428


@dataclasses.dataclass(slots=True)
class Request:
    """One whole request of a caller, over all its attempts.

    Attributes:
        flow: Kind of request.
        offered_s: Time of the arrival, since the start of the load.
        ended_s: Time of the end.
        whole: A whole answer arrived.
        attempts: Attempts made.
        reasons: Why attempts failed.
    """

    flow: Flow
    offered_s: float
    ended_s: float = 0.0
    whole: bool = False
    attempts: int = 0
    reasons: list[str] = dataclasses.field(default_factory=list)

    @property
    def latency_ms(self) -> float:
        """Time from arrival to end."""
        return (self.ended_s - self.offered_s) * 1000.0


class Callers:
    """Sends a mix at a load that changes with time.

    Args:
        urls: Caller listeners of the nodes, used at random.
        seed: Seed of arrivals and choices.
    """

    def __init__(self, urls: list[str], seed: int) -> None:
        self.requests: list[Request] = []
        self.latest_s = 0.0
        self._urls = urls
        self._random = random.Random(seed)
        self._session: aiohttp.ClientSession | None = None
        self._begin = 0.0
        self._number = 0

    @property
    def now_s(self) -> float:
        """Time since the start of the load."""
        return time.perf_counter() - self._begin

    async def run(
        self,
        flows: tuple[Flow, ...],
        load_at: Callable[[float], float],
        seconds: float,
    ) -> None:
        """Offers the load and waits until every request has ended."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            self._session = session
            self._begin = time.perf_counter()
            async with asyncio.TaskGroup() as group:
                for flow in flows:
                    group.create_task(
                        self._offer(group, flow, load_at, seconds)
                    )

    async def _offer(
        self,
        group: asyncio.TaskGroup,
        flow: Flow,
        load_at: Callable[[float], float],
        seconds: float,
    ) -> None:
        at_s = 0.0
        while True:
            factor = load_at(at_s) if flow.grows else 1.0
            rate = flow.rate * factor
            if rate <= 0:
                at_s += 0.05
                continue
            at_s += self._random.expovariate(rate)
            if at_s >= seconds:
                return
            wait_s = at_s - self.now_s
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            self.latest_s = max(self.latest_s, self.now_s - at_s)
            request = Request(flow, at_s)
            self.requests.append(request)
            group.create_task(self._send(request))

    async def _send(self, request: Request) -> None:
        self._number += 1
        path = f"/{request.flow.path}/{self._number}"
        headers = {
            "x-tenant": request.flow.tenant,
            "x-request-timeout-ms": str(request.flow.timeout_ms),
        }
        while not request.whole and request.attempts < ATTEMPTS:
            if request.attempts:
                await asyncio.sleep(RETRY_GAP_S * self._random.random())
            request.attempts += 1
            reason = await self._attempt(request.flow, path, headers)
            request.whole = not reason
            if reason:
                request.reasons.append(reason)
        request.ended_s = self.now_s

    async def _attempt(
        self, flow: Flow, path: str, headers: dict[str, str]
    ) -> str:
        """Makes one attempt; returns why it failed, or nothing."""
        url = self._random.choice(self._urls) + path
        try:
            async with asyncio.timeout(flow.timeout_ms / 1000):
                if flow.run_once and "idempotency-key" not in headers:
                    async with self._session.post(url, headers=headers) as a:
                        if a.status != KEY_REQUIRED:
                            return f"no key: {a.status}"
                        key = a.headers["idempotency-key"]
                        headers["idempotency-key"] = key
                async with self._session.request(
                    flow.method, url, headers=headers
                ) as answer:
                    await answer.read()
                    return _failure(answer)
        except TimeoutError:
            return "caller timeout"
        except aiohttp.ClientError as error:
            return type(error).__name__


def _failure(answer: aiohttp.ClientResponse) -> str:
    outcome = answer.headers.get("x-celeryfield-outcome", "none")
    if answer.status == 200 and outcome == "ok":
        return ""
    reason = answer.headers.get("x-celeryfield-reason", "")
    return f"{answer.status} {outcome} {reason}"


def failures(requests: list[Request]) -> dict[str, dict[str, int]]:
    """Counts the failures of attempts by class and reason."""
    counts: dict[str, collections.Counter] = {}
    for request in requests:
        entry = counts.setdefault(request.flow.name, collections.Counter())
        entry.update(request.reasons)
    return {name: dict(entry) for name, entry in counts.items()}
