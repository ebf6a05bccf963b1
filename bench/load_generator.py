"""Open-loop load generator whose callers retry failed attempts."""

import asyncio
import collections
import dataclasses
import random
import time

import aiohttp

from bench.workloads import Flow

MAX_ATTEMPTS = 4
MAX_RETRY_DELAY_S = 0.05
KEY_REQUIRED_STATUS = 428
FACTOR_STEP_S = 0.05


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a caller with all its attempts.

    Times are in s since the start of the load.

    Attributes:
        flow: Kind of request.
        arrival_s: Scheduled time of the first attempt.
        sent_s: Actual time of the first attempt.
        ended_s: Time at which the last attempt ended.
        succeeded: Whether a complete response arrived.
        attempts: Number of attempts.
        reasons: Why attempts failed, in order.
    """

    flow: Flow
    arrival_s: float
    sent_s: float
    ended_s: float = 0.0
    succeeded: bool = False
    attempts: int = 0
    reasons: list[str] = dataclasses.field(default_factory=list)

    @property
    def latency_ms(self) -> float:
        """Time from the scheduled arrival to the end."""
        return (self.ended_s - self.arrival_s) * 1000.0


@dataclasses.dataclass(slots=True, frozen=True)
class LoadPart:
    """The part of a load that one load generator process sends.

    Attributes:
        urls: Caller listeners of the nodes; each attempt picks one at random.
        flows: Request mix, with the rates of this part.
        rate_factors: Factor on the rate of flows that scale with the load, for
            each step of ``FACTOR_STEP_S``.
        load_start_s: Start on the monotonic clock, which all processes share.
        seed: Seed of the arrival times and random choices.
        id: Number of the part; keeps request paths unique across parts.
    """

    urls: list[str]
    flows: tuple[Flow, ...]
    rate_factors: list[float]
    load_start_s: float
    seed: int
    id: int


def run_load_part(part: LoadPart) -> tuple[list[Request], float]:
    """Sends one part of a load; the entry point of a generator process.

    Returns:
        The requests and the CPU time that the process used, in s.
    """
    requests = asyncio.run(LoadGenerator(part).run())
    return requests, time.process_time()


class LoadGenerator:
    """Sends a request mix at a rate that varies over time."""

    def __init__(self, part: LoadPart) -> None:
        self._part = part
        self._requests: list[Request] = []
        self._random = random.Random(part.seed * 1000 + part.id)
        self._session: aiohttp.ClientSession | None = None
        self._request_count = 0

    @property
    def _now_s(self) -> float:
        return time.monotonic() - self._part.load_start_s

    async def run(self) -> list[Request]:
        """Sends the load and waits until every request has ended."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            self._session = session
            async with asyncio.TaskGroup() as group:
                for flow in self._part.flows:
                    group.create_task(self._generate_flow(group, flow))
        return self._requests

    async def _generate_flow(
        self, group: asyncio.TaskGroup, flow: Flow
    ) -> None:
        at_s = 0.0
        rate_factors = self._part.rate_factors
        while (step := int(at_s / FACTOR_STEP_S)) < len(rate_factors):
            rate = flow.rate * (
                rate_factors[step] if flow.scales_with_load else 1.0
            )
            if rate <= 0:
                at_s += FACTOR_STEP_S
                continue
            at_s += self._random.expovariate(rate)
            wait_s = at_s - self._now_s
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            request = Request(flow, at_s, self._now_s)
            self._requests.append(request)
            group.create_task(self._send(request))

    async def _send(self, request: Request) -> None:
        self._request_count += 1
        path = f"/{request.flow.path}/{self._part.id}-{self._request_count}"
        headers = {
            "x-workspace": request.flow.workspace,
            "x-request-timeout-ms": str(request.flow.timeout_ms),
        }
        while not request.succeeded and request.attempts < MAX_ATTEMPTS:
            if request.attempts:
                await asyncio.sleep(MAX_RETRY_DELAY_S * self._random.random())
            request.attempts += 1
            reason = await self._attempt(request.flow, path, headers)
            request.succeeded = not reason
            if reason:
                request.reasons.append(reason)
        request.ended_s = self._now_s

    async def _attempt(
        self, flow: Flow, path: str, headers: dict[str, str]
    ) -> str:
        """Makes one attempt.

        Fetches an idempotency key first if the flow needs one, and keeps it in
        the headers for further attempts.

        Returns:
            Why the attempt failed; empty if it succeeded.
        """
        url = self._random.choice(self._part.urls) + path
        try:
            async with asyncio.timeout(flow.timeout_ms / 1000):
                if flow.run_once and "idempotency-key" not in headers:
                    async with self._session.post(url, headers=headers) as a:
                        if a.status != KEY_REQUIRED_STATUS:
                            return f"no key: {a.status}"
                        key = a.headers["idempotency-key"]
                        headers["idempotency-key"] = key
                async with self._session.request(
                    flow.method, url, headers=headers
                ) as answer:
                    await answer.read()
                    return _failure_reason(answer)
        except TimeoutError:
            return "caller timeout"
        except aiohttp.ClientError as error:
            return type(error).__name__


def _failure_reason(answer: aiohttp.ClientResponse) -> str:
    outcome = answer.headers.get("x-celeryfield-outcome", "none")
    if answer.status == 200 and outcome == "ok":
        return ""
    reason = answer.headers.get("x-celeryfield-reason", "")
    return f"{answer.status} {outcome} {reason}"


def count_failures(requests: list[Request]) -> dict[str, dict[str, int]]:
    """Counts failed attempts by class and reason."""
    counts: dict[str, collections.Counter] = {}
    for request in requests:
        entry = counts.setdefault(request.flow.name, collections.Counter())
        entry.update(request.reasons)
    return {name: dict(entry) for name, entry in counts.items()}
