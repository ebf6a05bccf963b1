"""Tests of the translation of the platform's files, bodies and headers."""

import json
import pathlib
import re

import pytest
from platform_standins import config_spec, settings_text

from celeryfield.internal.store.client import ANY_VERSION
from celeryfield.internal.store.errors import (
    StoreConflictError,
    StoreHistoryLostError,
    StoreMissingError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from celeryfield.internal.store.responses import StoreResponse
from celeryfield.platform import config, headers, settings
from celeryfield.platform.objects import DIALECT

SOURCE = pathlib.Path(__file__).parents[2] / "src" / "celeryfield"
# Names defined by the platform.
WIRE_NAMES = re.compile(
    r"X-Attempt-Id|X-Deadline-Ms|X-Target-Instance|X-Server-|X-Not-Executed"
    r"|X-Caller-Service|X-Instance-Id|trafficSplit|pathPrefix|routeType"
    r"|heartbeatMs|coldRemainingMs|currentRev|staleOk|resourceType|appAddr"
)


def make_answer(status, content=None):
    body = b"" if content is None else json.dumps(content).encode()
    return StoreResponse(status, 0, body)


def make_object(name, revision=3, spec=None):
    return {"metadata": {"name": name, "revision": revision}, "spec": spec}


def test_platform_names_are_used_in_the_adapter_only():
    """Guards against other modules that depend on the platform."""
    found = [
        str(path.relative_to(SOURCE))
        for path in SOURCE.rglob("*.py")
        if "platform" not in path.relative_to(SOURCE).parts
        and WIRE_NAMES.search(path.read_text(encoding="utf-8"))
    ]
    assert found == []


def test_settings_are_translated():
    """Guards against wrong ports and against failing on unknown fields."""
    text = settings_text(1, 9000, 9001)
    parsed = settings.parse(text).ok
    assert parsed.node.node.id == "node-1"
    assert parsed.node.store.url == "http://127.0.0.1:9000"
    assert parsed.upstream_address == "127.0.0.1:9001"
    assert parsed.node.listen.caller_port == parsed.caller_address.port
    assert (parsed.drain_ms, parsed.grace_ms) == (1000.0, 5000.0)
    unknown = text.replace("[self]", "[new]\nx = 1\n[self]\nnewField = 2")
    assert settings.parse(unknown).ok.service == "stock"


@pytest.mark.parametrize(
    ("old", "new", "expected_text"),
    [
        ('zone = "z1"', "", "self.zone"),
        ("heartbeatMs = 500", "heartbeatMs = 0", "heartbeatMs"),
        ("[self]", "[self", "TOML"),
        ('outbound = "127.0.0.1:', 'outbound = "127.0.0.1;', "host:port"),
    ],
)
def test_error_in_the_settings_names_its_location(old, new, expected_text):
    """Guards against a node that starts with invalid settings."""
    problem = settings.parse(settings_text(1, 9000, 9001).replace(old, new, 1))
    assert expected_text in str(problem.error)


def test_configuration_is_translated():
    """Guards against inverted priorities and route types."""
    content = config_spec(version=0x1F, routeType="unsafe", priority=2)
    content["resources"].append(
        {"resourceType": "news", "metadata": {"name": "x"}, "spec": {"a": 1}}
    )
    table = config.decode(json.dumps(content).encode()).ok
    assert table.version == 31
    (route,) = table.routes_by_name.values()
    assert not route.repeatable
    assert route.priority == config.HIGHEST_PRIORITY - 2
    assert route.weighted_services[0].service == "stock"
    assert table.services_by_name["stock"].max_connections == 20


@pytest.mark.parametrize(
    "change",
    [
        {"pathPrefix": "no-slash"},
        {"timeoutMs": "soon"},
        {"maxAttempts": 0},
        {"trafficSplit": [{"service": "a", "weight": -1}]},
    ],
)
def test_configuration_with_one_invalid_entry_is_refused(change):
    """Guards against 404 for a route whose entry could not be decoded."""
    content = json.dumps(config_spec(**change)).encode()
    assert config.decode(content).is_error()


def test_hop_by_hop_and_forged_headers_are_not_forwarded():
    """Guards against callers that set headers reserved for nodes."""
    sent = {
        "Connection": "close",
        "X-Deadline-Ms": "5",
        "X-Target-Instance": "i-9",
        "x-caller-service": "forged",
        "X-Attempt-Id": "a1",
        "Accept": "*/*",
    }
    pairs = headers.as_pairs(headers.forward_request_headers(sent, "stock"))
    assert pairs == [
        ("X-Attempt-Id", "a1"),
        ("Accept", "*/*"),
        ("X-Caller-Service", "stock"),
    ]


def test_listing_skips_invalid_objects():
    """Guards against an invalid object that hides the others."""
    page = {
        "items": [5, {"metadata": {}}, make_object("a", spec={"x": 1})],
        "hasMore": True,
        "currentRev": 9,
    }
    listing = DIALECT.decode_listing("nodes/", make_answer(200, page)).ok
    assert [found.key for found in listing.objects] == ["nodes/a"]
    assert json.loads(listing.objects[0].value) == {"x": 1}
    assert (listing.revision, listing.continue_after) == (9, "a")


def test_last_event_of_an_object_wins():
    """Guards against an object that is both present and deleted."""
    events = [
        {"object": make_object("a"), "deleted": True},
        {"object": make_object("a", 4), "deleted": False},
        {"object": make_object("b"), "deleted": False},
        {"object": make_object("b", 5), "deleted": True},
    ]
    content = {"events": events, "currentRev": 5}
    listing = DIALECT.decode_changes("nodes/", make_answer(200, content)).ok
    assert [found.key for found in listing.objects] == ["nodes/a"]
    assert listing.deleted_keys == ("nodes/b",)


def test_errors_of_the_store_are_distinguished():
    """Guards against retries of a write that may have taken effect."""
    lost = DIALECT.decode_changes("nodes/", make_answer(410)).error
    assert isinstance(lost, StoreHistoryLostError)
    key, value = "nodes/a", b"{}"
    conflict = DIALECT.decode_write(
        key, value, 2, make_answer(409, make_object("a", 6))
    )
    assert isinstance(conflict.error, StoreConflictError)
    missing = DIALECT.decode_write(key, value, 2, make_answer(404)).error
    assert isinstance(missing, StoreMissingError)
    for status in (429, 503):
        refused = DIALECT.decode_write(key, value, 2, make_answer(status)).error
        assert isinstance(refused, StoreUnavailableError)
    unknown = DIALECT.decode_write(key, value, 2, make_answer(500)).error
    assert isinstance(unknown, StoreOutcomeUnknownError)
    written = DIALECT.decode_write(
        key, value, 2, make_answer(200, make_object("a", 7))
    )
    assert written.ok.version == 7


def test_writes_name_the_version_that_they_replace():
    """Guards against a write that overwrites a concurrent change."""
    created = DIALECT.build_write("nodes/a b", b'{"x":1}', 0)
    assert (created.method, created.path) == ("POST", "/objects/nodes")
    replaced = DIALECT.build_write("nodes/a b", b'{"x":1}', 4)
    assert (replaced.method, replaced.path) == ("PUT", "/objects/nodes/a%20b")
    assert json.loads(replaced.body)["metadata"]["revision"] == 4
    unconditional = DIALECT.build_write("nodes/a", b"{}", ANY_VERSION)
    assert "revision" not in json.loads(unconditional.body)["metadata"]
    assert DIALECT.build_delete("nodes/a", 4).query == {"revision": "4"}
