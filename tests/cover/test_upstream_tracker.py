"""Tests of the upstream's state when reports are late, lost or repeated."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from celeryfield.internal.clock import ManualClock
from celeryfield.internal.upstream.tracker import (
    DRAINING,
    GONE,
    READY,
    UpstreamReport,
    UpstreamTracker,
    Verdict,
)

ALIVE_MS = 3_000.0
FIRST = UpstreamReport("stock-1", 100, 1, "stock", "10.0.0.1:80", 4, READY)


def make_tracker(wall_ms=1_000):
    clock = ManualClock()
    clock.wall_ms = lambda: wall_ms
    return UpstreamTracker(clock, ALIVE_MS), clock


def next_report(report=FIRST, **fields):
    """Returns the next report of the same boot, with changed fields."""
    return dataclasses.replace(
        report, **({"sequence": report.sequence + 1} | fields)
    )


def test_late_report_of_the_same_boot_changes_nothing():
    """Guards against a reordered report that replaces a newer one."""
    tracker, _ = make_tracker()
    tracker.accept(next_report(slots=8))
    assert tracker.accept(FIRST) is Verdict.LATE
    assert tracker.report.slots == 8


def test_ready_report_does_not_end_the_draining_of_a_boot():
    """Guards against requests to an upstream that reported its leave."""
    tracker, _ = make_tracker()
    tracker.accept(next_report(state=DRAINING))
    tracker.accept(next_report(sequence=9))
    assert tracker.state == DRAINING


def test_leave_of_an_unknown_upstream_overrides_a_delayed_report():
    """Guards against a restarted node that drops a leave it acknowledged.

    The new process has no report of the upstream when the leave arrives, and a
    report from before the leave arrives after it.
    """
    tracker, _ = make_tracker()
    assert tracker.record_leave(FIRST.upstream_id, "stock", "10.0.0.1:80")
    assert tracker.state == DRAINING
    tracker.accept(FIRST)
    assert tracker.state == DRAINING


def test_boot_after_the_leave_is_served_under_the_same_id():
    """Guards against an upstream that gets no requests after a restart."""
    tracker, clock = make_tracker(wall_ms=1_000)
    tracker.accept(FIRST)
    tracker.record_leave(FIRST.upstream_id, "stock", "10.0.0.1:80")
    clock.advance(ALIVE_MS)
    restarted = dataclasses.replace(FIRST, born_ms=1_500, sequence=0)
    assert tracker.accept(restarted) is Verdict.ACCEPTED
    assert tracker.state == READY


def test_record_of_an_earlier_process_does_not_undo_a_leave():
    """Guards against a store that still shows the upstream as ready."""
    tracker, _ = make_tracker()
    tracker.record_leave(FIRST.upstream_id, "stock", "10.0.0.1:80")
    tracker.restore(FIRST)
    assert tracker.state == DRAINING


def test_older_boot_does_not_replace_one_that_is_alive():
    """Guards against a delayed report from before a restart."""
    tracker, clock = make_tracker()
    newer = dataclasses.replace(FIRST, born_ms=200)
    tracker.accept(newer)
    assert tracker.accept(FIRST) is Verdict.STALE
    clock.advance(ALIVE_MS)
    assert tracker.accept(FIRST) is Verdict.ACCEPTED


def test_report_makes_a_gone_upstream_ready_again():
    """Guards against an upstream that gets no requests after a crash."""
    tracker, clock = make_tracker()
    tracker.accept(FIRST)
    clock.advance(ALIVE_MS)
    assert tracker.expire()
    assert tracker.state == GONE
    tracker.accept(next_report())
    tracker.mark_gone()
    assert tracker.state == GONE
    tracker.accept(next_report(sequence=7))
    assert tracker.state == READY


@given(
    st.lists(
        st.tuples(
            st.sampled_from(("report", "leave", "restore", "gone")),
            st.integers(1, 30),
            st.sampled_from((READY, DRAINING)),
        ),
        max_size=20,
    )
)
def test_boot_that_left_is_never_ready_again(events):
    """Guards against any order of events that undoes the leave of a boot."""
    tracker, _ = make_tracker()
    has_left = False
    for kind, sequence, state in events:
        report = next_report(sequence=sequence, state=state)
        if kind == "report":
            verdict = tracker.accept(report)
            is_accepted = verdict is Verdict.ACCEPTED
            has_left = has_left or (is_accepted and state == DRAINING)
        elif kind == "leave":
            tracker.record_leave(report.upstream_id, "stock", report.address)
            has_left = True
        elif kind == "restore" and not has_left:
            tracker.restore(dataclasses.replace(report, state=READY))
        elif kind == "gone":
            tracker.mark_gone()
        assert not has_left or tracker.state != READY


def test_boot_that_others_know_as_left_is_not_served():
    """Guards against a delayed report that this process cannot judge."""
    for is_tracked in (False, True):
        tracker, clock = make_tracker()
        if is_tracked:
            tracker.accept(FIRST)
        changed = tracker.record_drained_boot(FIRST.upstream_id, FIRST.born_ms)
        assert changed is is_tracked
        tracker.accept(next_report())
        assert tracker.state == DRAINING
        clock.advance(ALIVE_MS)
        tracker.accept(dataclasses.replace(FIRST, born_ms=FIRST.born_ms + 1))
        assert tracker.state == READY


def test_leave_of_an_unknown_boot_says_nothing_about_the_next_one():
    """Guards against an upstream without a start time that stays away."""
    tracker, _ = make_tracker()
    report = dataclasses.replace(FIRST, born_ms=0)
    tracker.accept(report)
    assert not tracker.record_drained_boot(report.upstream_id, 0)
    assert tracker.state == READY


def test_older_leave_of_others_does_not_replace_a_later_one():
    """Guards against a boot that left and is served again."""
    tracker, _ = make_tracker(wall_ms=1_000)
    tracker.record_leave(FIRST.upstream_id, "stock", "10.0.0.1:80")
    tracker.record_drained_boot(FIRST.upstream_id, 50)
    tracker.accept(FIRST)
    assert tracker.state == DRAINING
