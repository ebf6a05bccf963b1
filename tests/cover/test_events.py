"""Tests of log events: rate limit, log writer and field names."""

import dataclasses
import json
import logging
import os
import threading
import time
import zlib

import pytest

from celeryfield.internal import events, log_rate_limit, logs
from celeryfield.internal.schema.settings import NodeSettings

SETTINGS = NodeSettings(node={"id": "n1", "zone": "z1", "region": "r1"})
REFUSAL = {
    "request": "a1",
    "call": "c",
    "service": "s",
    "rank": 1,
    "admission_level": 2,
    "level_of": "t",
    "level_age_ms": 3.14159,
}


@pytest.fixture
def pipe(monkeypatch):
    """Sends the logs of the process into a pipe."""
    monkeypatch.setattr(
        events, "_rate_limiter", log_rate_limit.LogRateLimiter()
    )
    root = logging.getLogger()
    before = (root.handlers[:], root.level, logging.raiseExceptions)
    reader, writer = os.pipe()
    yield reader, logs.configure(SETTINGS, writer)
    root.handlers[:], root.level, logging.raiseExceptions = before
    # Reads the rest, so that a blocked writer thread can continue.
    os.set_blocking(reader, False)
    deadline_s = time.monotonic() + 5
    while time.monotonic() < deadline_s:
        try:
            if not os.read(reader, 1 << 20):
                break
        except BlockingIOError:
            break
    os.close(reader)


def read_lines(reader, at_least=1):
    """Reads lines until none has arrived for 0.3 s.

    On a busy machine the thread that writes them may start later than that, so
    it is given more time for the first lines.
    """
    os.set_blocking(reader, False)
    data = b""
    started_s = last_read_s = time.monotonic()
    while time.monotonic() - last_read_s < 0.3 or (
        data.count(b"\n") < at_least and time.monotonic() - started_s < 10
    ):
        try:
            data += os.read(reader, 1 << 20)
            last_read_s = time.monotonic()
        except BlockingIOError:
            time.sleep(0.01)
    return [json.loads(line) for line in data.splitlines()]


def test_line_holds_the_inputs_of_the_decision(pipe):
    """Guards against lines that do not show the cause of a decision."""
    reader, _ = pipe
    events.emit(events.AdmissionRefused, **REFUSAL)
    (line,) = read_lines(reader)
    assert (
        line.items()
        >= {
            "message": "call refused at sender",
            "level": "INFO",
            "node": "n1",
            "zone": "z1",
            "request": "a1",
            "level_of": "t",
            "level_age_ms": 3.14,
        }.items()
    )


def test_numbers_without_a_finite_value_are_valid_json(pipe):
    """Guards against lines that other programs cannot parse."""
    reader, _ = pipe
    events.emit(
        events.AdmissionRefused, **(REFUSAL | {"level_age_ms": float("inf")})
    )
    (line,) = read_lines(reader)
    assert line["level_age_ms"] == -1.0


def test_many_refusals_are_limited_and_counted(pipe):
    """Guards against logging that costs more than the requests."""
    reader, _ = pipe
    for _ in range(10_000):
        events.emit(events.AdmissionRefused, **REFUSAL)
    events.report_left_out()
    *lines, summary = read_lines(reader)
    left_out = summary["counts"]["call refused at sender"]
    assert left_out + len(lines) == 10_000
    assert len(lines) <= 2 * (
        events.AdmissionRefused.per_second
        + log_rate_limit.SAMPLED_LINES_PER_SECOND
    )


def test_unknown_outcomes_are_all_kept(pipe):
    """Guards against a request with unknown outcome that is not logged."""
    reader, _ = pipe
    fields = {
        field.name: "" for field in dataclasses.fields(events.OutcomeUnknown)
    }
    for number in range(300):
        fields["request"] = str(number)
        events.emit(events.OutcomeUnknown, **fields)
    lines = read_lines(reader, at_least=300)
    assert [line["request"] for line in lines] == [str(n) for n in range(300)]


def test_lines_with_outcome_ok_have_a_lower_limit(pipe):
    """Guards against processor time spent on lines that nobody needs."""
    reader, _ = pipe
    fields = {
        field.name: 0 for field in dataclasses.fields(events.AttemptEnded)
    }
    for outcome in ["ok", "failed"] * 5:
        events.emit(events.AttemptEnded, **(fields | {"outcome": outcome}))
    lines = read_lines(reader)
    outcomes = [line["outcome"] for line in lines]
    assert outcomes.count("ok") <= 2 * log_rate_limit.OK_LINES_PER_SECOND
    assert outcomes.count("failed") == 5


def test_sampled_requests_keep_all_their_lines(pipe):
    """Guards against traces of which each node leaves out another part."""
    reader, _ = pipe
    for number in range(400):
        events.emit(
            events.AdmissionRefused, **(REFUSAL | {"request": f"r{number}.7"})
        )
    kept = {line["request"] for line in read_lines(reader)}
    sampled = {
        f"r{number}.7"
        for number in range(400)
        if zlib.crc32(f"r{number}".encode()) % log_rate_limit.SAMPLE_ONE_IN == 0
    }
    assert 10 < len(sampled) <= log_rate_limit.SAMPLED_LINES_PER_SECOND
    assert sampled <= kept


def test_full_pipe_never_blocks_and_losses_are_counted(pipe):
    """Guards against a node that blocks because nobody reads its log."""
    _, log_writer = pipe
    logger = logging.getLogger("storm")
    # If logging blocked, this loop would not end.
    for _ in range(3 * logs.MAX_QUEUED_LINES):
        logger.warning("x" * 100)
    assert log_writer.pop_dropped_count() > logs.MAX_QUEUED_LINES
    assert log_writer.pop_dropped_count() == 0
    assert any(thread.daemon for thread in threading.enumerate())


def test_fields_do_not_clash_with_those_of_the_logging_library():
    """Guards against an event that raises an error when it is written."""
    reserved = set(logging.makeLogRecord({}).__dict__)
    reserved |= {"message", "asctime", "time", "level", "node", "zone"}
    assert events.OutcomeUnknown in events.all_events()
    for event in events.all_events():
        names = {field.name for field in dataclasses.fields(event)}
        assert not names & reserved
        assert event.__doc__
