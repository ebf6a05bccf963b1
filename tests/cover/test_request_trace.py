"""Tests of the trace of a request from the logs of several nodes."""

import json

import pytest
from typer.testing import CliRunner

from celeryfield.cli.main import app
from celeryfield.internal.request_trace import find_trace, parse_line

REQUEST = {
    "message": "request ended",
    "request": "a1",
    "route": "lookup",
    "service": "stock",
    "status": 503,
    "outcome": "not-run",
    "reason": "overload",
}


def line(time, node="n1", **fields):
    content = {"time": f"2026-01-01 00:00:{time:02},000", "node": node}
    return json.dumps(content | fields)


def test_lines_of_all_nodes_come_in_order_of_time():
    """Guards against a cause that is shown after its effect."""
    lines = [
        line(9, **REQUEST),
        line(4, "n3", message="call ended", request="a1.2.1"),
        line(2, "n2", message="attempt ended", request="a1.2"),
        line(3, "n2", message="attempt ended", request="a12"),
        line(1, message="admission level changed", admission_level=128),
        line(11, message="upstream changed", upstream="later"),
        line(1, "n9", message="upstream changed", upstream="elsewhere"),
    ]
    trace = find_trace("a1", lines)
    assert [(item.node, item.event) for item in trace] == [
        ("n1", "admission level changed"),
        ("n2", "attempt ended"),
        ("n3", "call ended"),
        ("n1", "request ended"),
    ]
    assert "answered the lookup request for stock with 503" in trace[-1].text()
    assert "overload" in trace[-1].text()


LAST_ATTEMPT = {
    "decided_by": "n7",
    "last_peer": "n8",
    "last_upstream": "i-8",
    "last_outcome": "not-run",
    "last_reason": "busy",
    "last_age_ms": 2.5,
    "last_failed_deeper": False,
    "last_waited_ms": 0.0,
    "last_running": 15,
    "last_queued": 4,
    "last_limit": 15,
    "last_admission_level": 128,
}


def test_last_attempt_is_shown_if_its_own_line_was_left_out():
    """Guards against causes that are hidden by the rate limit of the log."""
    lines = [
        line(2, **REQUEST, **LAST_ATTEMPT),
        line(1, "n8", message="admission level changed", admission_level=128),
        line(1, "n7", message="node started"),
    ]
    trace = find_trace("a1", lines)
    assert {item.node for item in trace} == {"n1", "n7", "n8"}
    text = trace[-1].text()
    for part in (
        "n8 beside upstream i-8, ended 2.5 ms before: not-run busy",
        "15 running of 15, 4 waiting, level 128",
        "the answer is that of n7",
    ):
        assert part in text


@pytest.mark.parametrize(
    ("changes", "shown", "hidden"),
    [
        ({"last_peer": ""}, "overload", "last attempt"),
        ({"last_limit": -1}, "not-run busy", "running of"),
        ({"last_failed_deeper": True}, "busy in a call of its run", "?"),
        ({"decided_by": "n8"}, "level 128", "the answer is that"),
    ],
)
def test_unreported_values_of_the_last_attempt_are_hidden(
    changes, shown, hidden
):
    """Guards against values in the trace that no node has reported."""
    fields = REQUEST | {"route": "r", "took_ms": 1, "deadline_ms": 2}
    fields |= {"attempts": 1} | LAST_ATTEMPT | changes
    (found,) = find_trace("a1", [line(1, **fields)])
    assert shown in found.text()
    assert hidden not in found.text()


def test_without_context_only_lines_of_the_request_are_shown():
    """Guards against context lines that were not asked for."""
    lines = [line(1, message="upstream changed"), line(2, **REQUEST)]
    (found,) = find_trace("a1", lines, context=0)
    assert found.names_request


def test_malformed_and_foreign_lines_are_skipped():
    """Guards against a log that cannot be read because of one line."""
    lines = [
        "",
        "plain text",
        "{broken",
        "[1]",
        '{"message": 5, "node": "n", "time": "t"}',
        '{"message": "request ended"}',
        "{" * 100_000,
        f" 12.5 host {line(1, **REQUEST)}",
    ]
    (found,) = find_trace("a1", lines, context=0)
    assert found.fields["status"] == 503
    assert parse_line("\x00\xff") is None


def test_command_reads_several_files(tmp_path):
    """Guards against a command that fails on bytes that are not UTF-8."""
    first, second = tmp_path / "n1.log", tmp_path / "n2.log"
    first.write_text(line(2, **REQUEST) + "\n", encoding="utf-8")
    second.write_bytes(
        b"\xff\xfe\n" + line(1, "n2", **REQUEST).encode() + b"\n"
    )
    runner = CliRunner()
    result = runner.invoke(app, ["trace", "a1", str(first), str(second)])
    assert result.exit_code == 0
    assert [text.split()[2] for text in result.output.splitlines()] == [
        "n2",
        "n1",
    ]
    missing = runner.invoke(app, ["trace", "zz", str(first)])
    assert missing.exit_code == 1
