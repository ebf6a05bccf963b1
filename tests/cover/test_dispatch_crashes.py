"""Tests of how the dispatcher detects that a request crashed the upstream."""

import pytest

from celeryfield.internal.calls import CallResult, Outcome, Reason
from celeryfield.internal.clock import Clock
from celeryfield.internal.dispatch.admission import AdmissionController
from celeryfield.internal.dispatch.chain_limits import ChainLimits
from celeryfield.internal.dispatch.dispatcher import Dispatcher
from celeryfield.internal.routing.chains import ChainTable
from celeryfield.internal.routing.levels import LevelTable
from celeryfield.internal.schema import settings as settings_schema
from celeryfield.internal.schema import wire
from celeryfield.internal.transport.server import RunState

SETTINGS = settings_schema.NodeSettings.model_validate(
    {"node": {"id": "a", "zone": "z1", "region": "r1"}}
)


class InterruptingUpstream:
    """Interrupts the answer to every request for the same reason."""

    def __init__(self, reason, accepting):
        self.reason = reason
        self.accepting = accepting

    async def request(self, call, body, traceparent, timeout_ms):
        return CallResult(Outcome.UNKNOWN, self.reason, 502, started=True)

    async def is_accepting(self):
        return self.accepting


@pytest.mark.parametrize("reason", [Reason.CONNECTION_LOST, Reason.TRUNCATED])
@pytest.mark.parametrize("accepting", [True, False])
async def test_interrupted_answer_makes_a_suspect_only_after_a_crash(
    reason, accepting
):
    """Guards against resending a request whose answer ended in a crash.

    Also guards against suspects after an interruption without a crash.
    """
    clock = Clock()
    admission = AdmissionController(SETTINGS, clock)
    admission.apply_announcement(4, 4, "ready", "stock")
    dispatcher = Dispatcher(
        clock,
        admission,
        ChainLimits(clock),
        ChainTable(clock, LevelTable(SETTINGS, clock)),
        InterruptingUpstream(reason, accepting),
        lambda: None,
    )
    call = wire.Call(
        service="stock", deadline_left_ms=1000.0, fingerprint=b"poison"
    )
    result = await dispatcher.run(call, b"", RunState())
    suspects = admission.suspects.entries(clock.now_ms(), 1)
    assert result.outcome is Outcome.UNKNOWN
    assert result.reason is (reason if accepting else Reason.UPSTREAM_CRASHED)
    assert len(suspects) == (0 if accepting else 1)
