import pytest

from celeryfield.internal import inifile

GOOD = "[node]\nid = a\nzone = z\nregion = r\n"


def parse_problems(text):
    return inifile.parse_node_settings("node.ini", text).error


def test_reads_settings_with_defaults_and_lists(tmp_path):
    """Guards against values that are lost or not converted."""
    path = tmp_path / "node.ini"
    path.write_text(GOOD + "[admin]\ntoken_hashes = ab, cd\n")
    settings = inifile.load_node_settings(path).ok
    assert settings.node.id == "a"
    assert settings.admin.token_hashes == ("ab", "cd")
    assert settings.listen.caller_port == 7300


def test_reports_all_problems_at_once():
    """Guards against a reader that stops at the first fault.

    Operators would need one attempt per mistake.
    """
    text = (
        "stray = 1\n[node]\nid = a\nid = b\nzone = z\naddress = here\n"
        "[lisen]\n[listen]\ncaller_prt = 1\npeer_port = 70000\n"
        "[store]\ntimeout_ms = soon\ncalls_per_second = inf\n"
        "[store]\nburst = 0\nno delimiter\n[log]\nlevel = loud\n"
    )
    found = {(p.section, p.key): p.reason for p in parse_problems(text)}
    assert set(found) == {
        ("", ""),
        ("node", "id"),
        ("node", "region"),
        ("node", "address"),
        ("lisen", ""),
        ("listen", "caller_prt"),
        ("listen", "peer_port"),
        ("store", "timeout_ms"),
        ("store", "calls_per_second"),
        ("store", ""),
        ("log", "level"),
    }
    assert "did you mean 'listen'?" in found[("lisen", "")]
    assert "did you mean 'caller_port'?" in found[("listen", "caller_prt")]
    assert "'soon'" in found[("store", "timeout_ms")]


def test_problem_contains_file_section_key_and_reason():
    """Guards against messages that do not show where the mistake is."""
    problem = parse_problems(GOOD + "[log]\nlevel = loud\n")[0]
    assert str(problem) == (
        "node.ini, [log], level: 'loud' is not accepted: use one of debug, "
        "info, warning, error"
    )


@pytest.mark.parametrize("content", [None, b"\xff\xfe[node]"])
def test_reports_unreadable_files(tmp_path, content):
    """Guards against a traceback for a missing or binary file."""
    path = tmp_path / "node.ini"
    if content is not None:
        path.write_bytes(content)
    [problem] = inifile.load_node_settings(path).error
    assert problem.file == "node.ini"
