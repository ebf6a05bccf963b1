"""Tests of keys, of requests that the ledger rejects, and of handover."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from celeryfield.internal.calls import CallResult, Outcome, Reason
from celeryfield.internal.clock import ManualClock
from celeryfield.internal.idempotency import keys
from celeryfield.internal.idempotency.handover import AlreadyAdoptedError
from celeryfield.internal.idempotency.keys import KeyOwner, LedgerError
from celeryfield.internal.idempotency.ledger import KeyLedger
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.ledger import LedgerSnapshot
from celeryfield.internal.schema.settings import NodeSettings

TTL_MS = 10_000


def make_ledger(clock, node_id="a", incarnation=1, **options):
    options = {"key_ttl_ms": TTL_MS, **options}
    node = {"id": node_id, "zone": "z", "region": "r"}
    settings = NodeSettings.model_validate(
        {"node": node, "idempotency": options}
    )
    return KeyLedger(settings, clock, node_id, incarnation)


async def start_ok():
    return CallResult(
        outcome=Outcome.OK,
        status=201,
        headers=(wire.Header("etag", "7"),),
        body=b"whole answer",
        unused_allowance=2,
        load=wire.LoadReport(limit=9),
    )


async def start_forbidden():
    pytest.fail("the call must not start")


@given(
    node_id=st.from_regex(r"[A-Za-z0-9.-]{1,128}", fullmatch=True),
    incarnation=st.integers(0, 2**64 - 1),
    now_ms=st.integers(0, 2**48),
    position=st.integers(0, 400),
    replacement=st.characters(),
)
def test_accepts_issued_keys_and_rejects_altered_ones(
    node_id, incarnation, now_ms, position, replacement
):
    """Guards against two spellings of one key, which could run twice."""
    owner = KeyOwner(node_id, incarnation)
    secret = keys.new_secret()
    key = keys.issue_key(owner, secret, now_ms)
    parsed = keys.parse_key(key).ok
    assert (parsed.owner, parsed.issued_ms) == (owner, now_ms)
    assert keys.is_authentic(parsed, secret)
    assert not keys.is_authentic(parsed, keys.new_secret())
    position %= len(key)
    altered = key[:position] + replacement + key[position + 1 :]
    reparsed = keys.parse_key(altered)
    if altered != key and reparsed.is_ok():
        assert not keys.is_authentic(reparsed.ok, secret)


async def test_rejects_foreign_forged_and_expired_keys_as_unknown():
    """Guards against running keys that another ledger may have run."""
    clock = ManualClock()
    ledger = make_ledger(clock)
    forged = keys.issue_key(ledger.owner, keys.new_secret(), 1_000)
    restarted = make_ledger(clock)
    foreign = make_ledger(clock, "b").issue()
    expired = ledger.issue()
    clock.advance(TTL_MS)
    for key in (forged, foreign, restarted.issue(), expired, "", "x~é"):
        answer = await ledger.run_once(key, b"f", start_forbidden)
        assert answer.outcome is Outcome.UNKNOWN
        assert (answer.reason, answer.status) == (Reason.KEY_UNKNOWN, 410)


async def test_returns_the_stored_answer_after_the_key_has_expired():
    """Guards against a late run whose answer cannot be fetched again."""
    clock = ManualClock()
    ledger = make_ledger(clock)
    key = ledger.issue()
    clock.advance(TTL_MS - 1)
    first = await ledger.run_once(key, b"f", start_ok)
    assert first.unused_allowance == 2
    clock.advance(TTL_MS - 1)
    again = await ledger.run_once(key, b"f", start_forbidden)
    assert (again.body, again.headers) == (first.body, first.headers)
    # The allowance belongs to the call chain of the first request.
    assert (again.unused_allowance, again.load) == (0, None)
    clock.advance(1)
    expired = await ledger.run_once(key, b"f", start_forbidden)
    assert expired.reason is Reason.KEY_UNKNOWN
    assert ledger.entry_count == 0


async def test_rejects_new_runs_when_full_and_keeps_old_ones():
    """Guards against a full ledger that drops runs or exceeds its limit."""
    ledger = make_ledger(ManualClock(), max_entries=2)
    first, second, third = ledger.issue_many(3)
    await ledger.run_once(first, b"f", start_ok)
    await ledger.run_once(second, b"f", start_ok)
    refused = await ledger.run_once(third, b"f", start_forbidden)
    assert refused.outcome is Outcome.NOT_RUN
    assert refused.reason is Reason.OVERLOAD
    again = await ledger.run_once(first, b"f", start_forbidden)
    assert again.outcome is Outcome.OK
    assert ledger.entry_count == 2


async def test_evicts_the_oldest_answers_but_keeps_their_outcomes():
    """Guards against unbounded memory for answers, and partial answers."""
    size = len(b"whole answer") + len("etag7")
    ledger = make_ledger(
        ManualClock(), answer_bytes=size, total_answer_bytes=2 * size
    )
    issued = ledger.issue_many(3)
    for key in issued:
        await ledger.run_once(key, b"f", start_ok)
    answers = [
        await ledger.run_once(key, b"f", start_forbidden) for key in issued
    ]
    assert [item.outcome for item in answers] == [Outcome.OK] * 3
    assert answers[0].reason is Reason.ANSWER_NOT_KEPT
    assert (answers[0].status, answers[0].body) == (409, b"")
    assert [item.body for item in answers[1:]] == [b"whole answer"] * 2


def export(ledger, successor):
    snapshot = ledger.close_and_export(successor.owner).ok
    return LedgerSnapshot.decode(snapshot.encode())


async def test_hands_runs_over_through_two_planned_stops():
    """Guards against keys and answers that are lost in a second handover."""
    clock = ManualClock()
    ledgers = [make_ledger(clock, node_id) for node_id in "abc"]
    done, unused = ledgers[0].issue_many(2)
    first = await ledgers[0].run_once(done, b"f", start_ok)
    for ledger, successor in itertools.pairwise(ledgers):
        assert successor.adopt(export(ledger, successor)).is_ok()
        assert not ledger.serves(ledgers[0].owner)
        with pytest.raises(LedgerError, match="ask another node"):
            ledger.issue()
        closed = await ledger.run_once(unused, b"f", start_forbidden)
        assert closed.outcome is Outcome.UNKNOWN
    last = ledgers[-1]
    assert all(last.serves(ledger.owner) for ledger in ledgers)
    again = await last.run_once(done, b"f", start_forbidden)
    assert (again.body, again.headers) == (first.body, first.headers)
    other = await last.run_once(done, b"g", start_forbidden)
    assert (other.outcome, other.status) == (Outcome.NOT_RUN, 422)
    assert (await last.run_once(unused, b"f", start_ok)).body == first.body


async def test_rejects_a_repeated_or_misaddressed_snapshot():
    """Guards against two ledgers that serve the keys of one incarnation."""
    clock = ManualClock()
    ledger, successor, other = (make_ledger(clock, name) for name in "abc")
    key = ledger.issue()
    snapshot = export(ledger, successor)
    assert ledger.close_and_export(other.owner).is_error()
    assert other.adopt(snapshot).is_error()
    restarted = make_ledger(clock, "b", incarnation=2)
    assert restarted.adopt(snapshot).is_error()
    assert successor.adopt(snapshot).is_ok()
    await successor.run_once(key, b"f", start_ok)
    assert isinstance(successor.adopt(snapshot).error, AlreadyAdoptedError)
    again = await successor.run_once(key, b"f", start_forbidden)
    assert again.body == b"whole answer"


async def test_exports_only_when_idle_and_stays_open_otherwise():
    """Guards against a run that ends after its entry was exported."""
    clock = ManualClock()
    ledger, successor = make_ledger(clock), make_ledger(clock, "b")

    async def start():
        assert ledger.close_and_export(successor.owner).is_error()
        return await start_ok()

    answer = await ledger.run_once(ledger.issue(), b"f", start)
    assert answer.outcome is Outcome.OK
    assert ledger.serves(ledger.owner)


@pytest.mark.parametrize("skew_ms", [-50_000, 0, 50_000])
async def test_successor_with_other_clock_and_longer_ttl_runs_no_old_key(
    skew_ms,
):
    """Guards against rerunning a key whose run the exporter had removed."""
    clock = ManualClock(100_000)
    ledger = make_ledger(clock)
    ran, fresh = ledger.issue_many(2)
    await ledger.run_once(ran, b"f", start_ok)
    clock.advance(TTL_MS)
    late = ledger.issue()
    successor_clock = ManualClock(clock.now_ms() + skew_ms)
    successor = make_ledger(successor_clock, "b", key_ttl_ms=100 * TTL_MS)
    snapshot = export(ledger, successor)
    assert snapshot.entries == ()
    assert successor.adopt(snapshot).is_ok()
    for key in (ran, fresh):
        answer = await successor.run_once(key, b"f", start_forbidden)
        assert answer.reason is Reason.KEY_UNKNOWN
    if skew_ms <= 0:
        answer = await successor.run_once(late, b"f", start_ok)
        assert answer.outcome is Outcome.OK
    successor_clock.advance(TTL_MS)
    answer = await successor.run_once(late, b"g", start_forbidden)
    assert answer.outcome is not Outcome.OK


@pytest.mark.parametrize(
    "change",
    [
        {"secret": b"short"},
        {"outcome": "done"},
        {"key": "b~1~3e8~AAAAAAAAAAAA~AAAAAAAAAAAAAAAAAAAAAA"},
        {"key": "no key"},
    ],
)
async def test_rejects_malformed_snapshots_without_partial_adoption(change):
    """Guards against a snapshot that is adopted partially."""
    clock = ManualClock()
    ledger, successor = make_ledger(clock), make_ledger(clock, "c")
    await ledger.run_once(ledger.issue(), b"f", start_ok)
    snapshot = export(ledger, successor)
    for item in (*snapshot.entries, *snapshot.issuers):
        for name, value in change.items():
            if hasattr(item, name):
                setattr(item, name, value)
    assert successor.adopt(snapshot).is_error()
    assert successor.entry_count == 0
    assert not successor.serves(ledger.owner)
