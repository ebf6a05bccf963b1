import itertools
import pathlib

import pytest

import celeryfield
from celeryfield.internal.config import fileset
from celeryfield.internal.config.diff import diff_sets, format_diff
from celeryfield.internal.config.manager import ConfigManager
from celeryfield.internal.schema import wire

BASE = """
[fileset]
team = pipes
[service order]
timeout_ms = 4000
default_class = lookup
[class placement]
run_once = yes
priority = 90
timeout_ms = 3000
[class lookup]
[route place]
service = order
method = POST
path = /orders
class_name = placement
[route items]
service = order
path = /orders/*/items
class_name = lookup
"""


def compile_texts(*texts):
    entries = [
        wire.FileEntry(f"f{i}.ini", text) for i, text in enumerate(texts)
    ]
    return fileset.compile_files(entries)


def make_stored_set(text, version, **fields):
    message = compile_texts(text).ok.message
    message.version = version
    for name, value in fields.items():
        setattr(message, name, value)
    return fileset.from_wire(wire.FileSet.decode(message.encode())).ok


@pytest.mark.parametrize(
    ("addition", "section", "key", "part"),
    [
        ("[class a]\nrun_once=1\nrepeatable=1", "class a", "repeatable", "may"),
        ("[class a]\nrun_once=1\nhedge=1", "class a", "hedge", "repeatable"),
        ("[class a]\nretry_allowance=-1", "class a", "retry_allowance", "-1"),
        ("[class a]\nretry_allowance=26", "class a", "retry_allowance", "25"),
        ("[class a]\nretry_allowance=0\nhedge=1", "class a", "hedge", "raise"),
        ("[class a]\nhedge=1\nlong_running=1", "class a", "hedge", "twice"),
        ("[class order]\n[class order]", "class order", "", "repeats"),
        ("[service order]", "service order", "", "also in f0.ini"),
        ("[servise x]", "servise x", "", "'service'"),
        ("[service a b]", "service a b", "", "not a name"),
        ("[tenant web]", "tenant web", "", "write [workspace web]"),
        ("[service s]\ncalls = s", "service s", "calls", "itself"),
        (
            "[service s]\ndefault_class=lokup",
            "service s",
            "default_class",
            "'lookup'",
        ),
        (
            "[route r]\nservice=oder\nclass_name=lookup",
            "route r",
            "service",
            "'order'",
        ),
        (
            "[route r]\nservice=order\nclass_name=lookup\nmethod=PSOT",
            "route r",
            "method",
            "'POST'",
        ),
        (
            "[route r]\nservice=order\nclass_name=lookup\nmethod=post\n"
            "path=/orders/",
            "route r",
            "path",
            "[route place]",
        ),
        (
            "[class s]\ntimeout_ms=5000\n"
            "[route r]\nservice=order\nclass_name=s\npath=/s",
            "route r",
            "class_name",
            "longest deadline",
        ),
        ("[fileset]\nteam = x", "fileset", "", "also in"),
    ],
)
def test_rejects_contradictions_across_files(addition, section, key, part):
    """Guards against sets with contradictory or unknown settings."""
    problems = compile_texts(BASE, addition).error
    assert [(p.section, p.key) for p in problems] == [(section, key)]
    assert part in problems[0].reason


def test_rejects_sets_that_exceed_the_size_limit():
    """Guards against a set that takes nodes too long to compile."""
    [problem] = compile_texts(BASE, "#" * fileset.MAX_FILE_SET_BYTES).error
    assert "split" in problem.reason


@pytest.mark.parametrize(
    "path",
    ["/orders", "/orders/", "//orders", "/%6frders?x=1", "/a/../orders"],
)
def test_equivalent_paths_have_the_same_class(path):
    """Guards against a run-once request that is handled as repeatable."""
    rule = compile_texts(BASE).ok.rule_for("order", "post", path)
    assert rule.class_name == "placement"
    assert not rule.class_settings.repeatable
    assert rule.timeout_ms == 3000


def test_lookup_prefers_specific_routes_and_falls_back():
    """Guards against a general route that hides a specific one."""
    applied = compile_texts(BASE).ok
    assert applied.rule_for("order", "GET", "/orders/7/items").route_name
    assert applied.rule_for("order", "GET", "/orders").class_name == "lookup"
    assert applied.rule_for("order", "GET", "/orders").timeout_ms == 4000
    assert applied.rule_for("other", "GET", "/orders") is None


def test_accepts_stored_sets_of_a_newer_version():
    """Guards against older nodes that keep old rules during an upgrade."""
    message = compile_texts(BASE).ok.message
    text = BASE.replace("[class lookup]", "[class lookup]\nnew_key = 1")
    message.files = (wire.FileEntry("f0.ini", text + "[new_kind x]\n"),)
    assert fileset.from_wire(message).is_ok()
    assert compile_texts(text).is_error()


def test_stored_sets_with_a_renamed_section_stay_in_force():
    """Guards against a node that loses a team's routes in an upgrade."""
    message = compile_texts(BASE).ok.message
    text = BASE + "[tenant web]\nweight = 2\n"
    message.files = (wire.FileEntry("f0.ini", text),)
    message.version = 1
    manager = ConfigManager()
    assert manager.apply_if_newer(fileset.from_wire(message).ok)
    assert manager.rule_for("order", "POST", "/orders")
    assert manager.workspace_weight("order", "web") == 1.0


def test_older_claim_wins_in_any_order_of_arrival():
    """Guards against nodes that assign a name to different teams.

    Nodes may receive the sets of the teams in different orders.
    """
    text = BASE.replace("pipes", "bells").replace("priority = 90", "")
    text = text.replace("run_once = yes", "long_running = yes")
    claim = wire.NameClaim("class", "placement", 3)
    offers = [
        make_stored_set(BASE, 5),
        make_stored_set(text, 7, claims=(claim,)),
        make_stored_set(
            BASE, 9, claims=(wire.NameClaim("service", "order", 5),)
        ),
    ]
    for order in itertools.permutations(offers):
        manager = ConfigManager()
        for offer in order:
            manager.apply_if_newer(offer)
        assert manager.versions_by_team == {"pipes": 9, "bells": 7}
        conflicts = {(c.kind, c.name): c.owner for c in manager.conflicts}
        assert conflicts == {
            ("service", "order"): "pipes",
            ("class", "placement"): "bells",
            ("class", "lookup"): "bells",
        }
        rule = manager.rule_for("order", "POST", "/orders")
        # The class section of the older owner, but requests stay run-once.
        assert rule.class_settings.long_running
        assert rule.class_settings.run_once


def test_teams_set_weights_of_a_workspace_for_their_own_services():
    """Guards against a team that changes weights at another's services."""
    text = BASE.replace("pipes", "bells").replace("order", "bell")
    text = text.replace("placement", "ring").replace("lookup", "read")
    manager = ConfigManager()
    manager.apply_if_newer(
        make_stored_set(BASE + "[workspace web]\nweight = 2\n", 1)
    )
    manager.apply_if_newer(
        make_stored_set(text + "[workspace web]\nweight = 3\n", 2)
    )
    assert manager.conflicts == ()
    weights = [
        manager.workspace_weight(service, "web")
        for service in ("order", "bell", "other")
    ]
    assert weights == [2, 3, 1]


def test_failing_subscriber_does_not_stop_the_others():
    """Guards against one error that keeps a set from coming into force."""
    manager = ConfigManager()
    seen = []
    manager.subscribe(lambda applied: 1 / 0)
    manager.subscribe(seen.append)
    assert manager.apply_if_newer(make_stored_set(BASE, 4))
    assert [applied.version for applied in seen] == [4]


def test_diff_contains_sections_keys_and_values():
    """Guards against changes that an operator cannot see."""
    changed = BASE.replace("priority = 90", "priority = 80")
    changed += "[workspace web]\nweight = 2\n"
    changes = diff_sets(compile_texts(BASE).ok, compile_texts(changed).ok)
    assert format_diff(changes).splitlines() == [
        "~ [class placement] priority: 90 -> 80",
        "+ [workspace web]",
        "+ [workspace web] weight: none -> 2",
    ]


EXAMPLES = pathlib.Path(celeryfield.__file__).parent / "examples"
HAJLITOCSO_SIZES = dict.fromkeys(["stock", "order", "scheduling"], (70, 500))
SOHAR_SIZES = dict.fromkeys(["berth", "bell", "tide"], (35, 300))


@pytest.mark.parametrize(
    ("team", "servers", "sizes", "most_important", "long_running"),
    [
        (
            "hajlitocso",
            3,
            HAJLITOCSO_SIZES | {"drawing": (15, 180)},
            {"order-placement": True, "line-booking": True},
            "complex-drawing",
        ),
        (
            "sohar",
            4,
            SOHAR_SIZES | {"timetable": (10, 150)},
            {"bell-command": True, "bell-state-read": False},
            "full-timetable",
        ),
    ],
)
def test_examples_have_the_sizes_and_priorities_of_the_deployments(
    team, servers, sizes, most_important, long_running
):
    """Guards against examples that differ from the deployments."""
    example = fileset.load_directory(EXAMPLES / team).ok
    services = example.sections.services_by_name
    classes = example.sections.classes_by_name
    for name, size in sizes.items():
        section = services[name]
        assert (section.slots, section.connections) == size
        assert section.servers == servers
        assert section.connect_ms == 1
    top = max(section.priority for section in classes.values())
    lowest = min(section.priority for section in classes.values())
    for name, run_once in most_important.items():
        assert classes[name].priority == top
        assert classes[name].run_once == run_once
    assert {n for n, c in classes.items() if c.run_once} <= set(most_important)
    assert [n for n, c in classes.items() if c.long_running] == [long_running]
    assert classes[long_running].priority == lowest


@pytest.mark.parametrize(
    ("team", "request_line", "class_name"),
    [
        ("hajlitocso", "order POST /orders", "order-placement"),
        ("hajlitocso", "order GET /orders/7", "order-status"),
        ("hajlitocso", "order PUT /orders/7", None),
        ("hajlitocso", "scheduling POST /slots/7", "line-booking"),
        ("hajlitocso", "drawing POST /complex/elbow", "complex-drawing"),
        ("hajlitocso", "drawing POST /elbow", "simple-drawing"),
        ("sohar", "bell POST /bells/3", "bell-command"),
        ("sohar", "bell GET /bells/3", "bell-state-read"),
        ("sohar", "bell DELETE /bells/3", None),
        ("sohar", "timetable GET /full/", "full-timetable"),
        ("sohar", "timetable GET /departures/3", "timetable-lookup"),
    ],
)
def test_examples_classify_requests(team, request_line, class_name):
    """Guards against example routes that select the wrong class."""
    example = fileset.load_directory(EXAMPLES / team).ok
    rule = example.rule_for(*request_line.split())
    assert (rule and rule.class_name) == class_name
