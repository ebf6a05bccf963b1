"""Tests of outcomes of keyed requests if the key owner cannot answer."""

import contextlib

import aiohttp
import pytest
from expression import Error, Ok

from celeryfield.internal.calls import (
    CallResult,
    Candidate,
    Outcome,
    Reason,
    not_run_result,
)
from celeryfield.internal.clock import Clock
from celeryfield.internal.frontend.errors import RequestProblem
from celeryfield.internal.frontend.ingress import IncomingCall
from celeryfield.internal.frontend.server import Frontend
from celeryfield.internal.gateway import Gateway
from celeryfield.internal.idempotency.ledger import KeyLedger
from celeryfield.internal.metrics import Metrics
from celeryfield.internal.schema import settings as settings_schema
from celeryfield.internal.schema import wire

SETTINGS = settings_schema.NodeSettings.model_validate(
    {
        "node": {"id": "a", "zone": "z1", "region": "r1"},
        "listen": {"caller_port": 0},
    }
)
OWNER = Candidate("owner", 1, "127.0.0.1", 1, "z1", "s")


class ScriptedPool:
    """Returns the given results in order and records the call ids."""

    def __init__(self, *results):
        self.results = list(results)
        self.call_ids = []

    async def send(self, candidate, call, body):
        self.call_ids.append(call.call_id)
        return self.results.pop(0)


async def ask_owner(pool):
    clock = Clock()
    key = KeyLedger(SETTINGS, clock, "owner", 1).issue()
    gateway = Gateway(
        clock,
        "a",
        KeyLedger(SETTINGS, clock, "a", 1),
        None,
        pool,
        lambda _: OWNER,
    )
    call = wire.Call(
        call_id="c", run_once=True, idempotency_key=key, deadline_left_ms=5000.0
    )
    return await gateway.call(call, b"")


async def test_retries_at_the_owner_have_another_call_id():
    """Guards against an owner that refuses a retry as a duplicate."""
    lost = CallResult(Outcome.UNKNOWN, Reason.CONNECTION_LOST, 502)
    pool = ScriptedPool(lost, CallResult(Outcome.OK))
    result = await ask_owner(pool)
    assert result.outcome is Outcome.OK
    assert len(set(pool.call_ids)) == 2


async def test_outcome_is_unknown_if_the_owner_was_never_reached():
    """Guards against "not run" for a key that an earlier request ran."""
    result = await ask_owner(
        ScriptedPool(*[not_run_result(Reason.DEADLINE)] * 5)
    )
    assert result.outcome is Outcome.UNKNOWN


async def test_refusal_of_the_owner_is_returned_to_the_caller():
    """Guards against an unknown outcome although the owner has no record."""
    refusal = not_run_result(Reason.DEADLINE)
    refusal.load = wire.LoadReport()
    assert (await ask_owner(ScriptedPool(refusal))).outcome is Outcome.NOT_RUN


class ScriptedIngress:
    """Accepts every request, or none."""

    def __init__(self, accepts):
        self.accepts = accepts

    def accept(self, request, body):
        if self.accepts:
            return Ok(IncomingCall(wire.Call(), None))
        return Error(RequestProblem(Reason.NO_ROUTE, 404, "no configuration"))


@contextlib.asynccontextmanager
async def serving(accepts):
    frontend = Frontend(
        SETTINGS, Clock(), Metrics(lambda _: False), ScriptedIngress(accepts)
    )
    await frontend.on_start()
    frontend.drain()
    async with aiohttp.ClientSession() as session:
        yield session, f"http://127.0.0.1:{frontend.port}/order/orders"
    await frontend.on_stop()


@pytest.mark.parametrize("accepts", [True, False])
@pytest.mark.parametrize(
    ("headers", "outcome"),
    [({}, Outcome.NOT_RUN), ({"idempotency-key": "k"}, Outcome.UNKNOWN)],
)
async def test_refused_keyed_request_is_unknown(accepts, headers, outcome):
    """Guards against "not run" for a request that another node has run."""
    async with (
        serving(accepts) as (session, url),
        session.post(url, headers=headers) as answer,
    ):
        assert answer.headers["x-celeryfield-outcome"] == outcome
        assert (await answer.json())["outcome"] == outcome
