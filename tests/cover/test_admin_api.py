"""Tests of the administration API over HTTP."""

import asyncio
import dataclasses

import pytest
from cover.admin_helpers import example_files, running_nodes
from cover.store_helpers import make_files, store_and_client, wait_until

from celeryfield.errors import SettingsError
from celeryfield.internal.admin import auth
from celeryfield.internal.admin.models import FileItem
from celeryfield.internal.admin.openapi import build_document
from celeryfield.internal.admin.server import MAX_BODY_BYTES
from celeryfield.internal.admin.status import GoodputMeter
from celeryfield.internal.config.fileset import AppliedFileSet, compile_files
from celeryfield.internal.inifile import parse_node_settings
from celeryfield.internal.metrics import ClassTotals

TOKEN = "open sesame"
# printf 'open sesame' | sha256sum
TOKEN_HASH = "41ef4bb0b23661e66301aac36066912dac037827b4ae63a7b1165a5aa93ed4eb"


async def test_applies_a_set_and_returns_its_files_and_history():
    """Guards against a set that is stored but not served or recorded."""
    async with (
        store_and_client() as (store, _),
        running_nodes(store_url=store.url) as [node],
    ):
        status, applied = await node.apply(example_files(), 0)
        assert (status, applied["team"]) == (200, "sohar")
        status, shown = await node.request("GET", "/v1/filesets/sohar")
        assert status == 200
        assert shown["current"]["version"] == applied["version"]
        assert shown["current"]["author"] == "ann"
        assert [file["name"] for file in shown["files"]] == [
            file.name for file in example_files()
        ]
        assert [entry["version"] for entry in shown["history"]] == [
            applied["version"]
        ]
        _, listed = await node.request("GET", "/v1/filesets")
        assert [file_set["team"] for file_set in listed["filesets"]] == [
            "sohar"
        ]
        status, answer = await node.request("GET", "/v1/filesets/nobody")
        assert (status, answer["error"]["code"]) == (404, "not-found")


async def test_one_of_two_concurrent_applies_wins_and_the_other_gets_the_diff():
    """Guards against a lost update, and a conflict without its cause."""
    async with (
        store_and_client() as (store, _),
        running_nodes(2, store_url=store.url) as nodes,
    ):
        _, first = await nodes[0].apply(example_files(), 0)
        base = first["version"]
        results = await asyncio.gather(
            nodes[0].apply(example_files(**{"slots = 10": "slots = 11"}), base),
            nodes[1].apply(example_files(**{"slots = 10": "slots = 12"}), base),
        )
        (won, winner), (lost, loser) = sorted(results, key=lambda item: item[0])
        assert (won, lost) == (200, 409)
        assert loser["error"]["code"] == "conflict"
        assert loser["current_version"] == winner["version"]
        texts = [change["text"] for change in loser["changes"]]
        assert texts in (
            ["~ [service timetable] slots: 11 -> 12"],
            ["~ [service timetable] slots: 12 -> 11"],
        )


async def test_rejects_an_invalid_set_with_all_problems_and_applies_nothing():
    """Guards against partly applied sets, and errors reported one by one."""
    async with (
        store_and_client() as (store, _),
        running_nodes(store_url=store.url) as [node],
    ):
        files = example_files(**{"slots = 10": "slots = many"})
        files.append(FileItem(name="more.ini", text="[class x]\nprio = 1\n"))
        status, answer = await node.apply(files, 0)
        assert status == 422
        where = [
            (problem["file"], problem["section"], problem["key"])
            for problem in answer["problems"]
        ]
        assert ("services.ini", "service timetable", "slots") in where
        assert ("more.ini", "class x", "prio") in where
        status, answer = await node.apply(example_files(), 0, team="other")
        assert status == 422
        assert answer["problems"][0]["key"] == "team"
        assert not any(
            key.startswith("config/") for key in store.objects_by_key
        )


def applied_set(team, version):
    """Returns a set with a version, as if it came from the store."""
    compiled = compile_files(make_files(team)).ok
    message = dataclasses.replace(compiled.message, version=version)
    return AppliedFileSet(message, compiled.sections)


async def test_distinguishes_outage_from_unknown_outcome():
    """Guards against reporting a write of unknown outcome as not done.

    Also guards against a set in force that cannot be read during an outage.
    """
    extra = "[log]\nlevel = error\n"
    async with (
        store_and_client() as (store, _),
        running_nodes(store_url=store.url, extra=extra) as [node],
    ):
        store.set_down(True)
        status, answer = await node.apply(example_files(), 0)
        assert (status, answer["error"]["code"]) == (503, "unavailable")
        # The set in force is read from the node, so only its history is missing
        # during an outage.
        node.node.config.apply_if_newer(applied_set("sohar", 3))
        status, shown = await node.request("GET", "/v1/filesets/sohar")
        assert (status, shown["current"]["version"]) == (200, 3)
        assert shown["history"] == []
        assert shown["history_error"]
        store.set_down(False)
        store.lose_answers(100)  # No write gets a response.
        store.set_stalled(True, ("get",))
        status, answer = await node.apply(example_files(), 0)
        assert (status, answer["error"]["code"]) == (504, "outcome-unknown")
    async with running_nodes() as [node]:
        status, answer = await node.apply(example_files(), 0)
        assert status == 503
        assert "[store] url" in answer["error"]["message"]


async def test_counts_the_members_that_have_a_version_in_force():
    """Guards against a count that takes the local version for others."""
    async with (
        store_and_client() as (store, _),
        running_nodes(3, store_url=store.url) as nodes,
    ):
        members_by_id = nodes[0].node.membership.members_by_id
        await wait_until(lambda: len(members_by_id) == 3)
        _, applied = await nodes[0].apply(example_files(), 0)
        version = applied["version"]
        path = f"/v1/filesets/sohar/in-force?version={version}"
        await wait_until(
            lambda: all(
                other.node.config.versions_by_team.get("sohar") == version
                for other in nodes
            )
        )
        _, answer = await nodes[0].request("GET", path)
        assert (answer["in_force"], answer["members"]) == (3, 3)
        assert answer["is_everywhere"]
        path = f"/v1/filesets/sohar/in-force?version={version + 1}"
        _, answer = await nodes[0].request("GET", path)
        assert (answer["in_force"], answer["behind"]) == (0, 3)
        assert answer["missing"] == ["n0", "n1", "n2"]
        _, status = await nodes[0].request("GET", "/v1/status")
        named = {member["configuration"] for member in status["members"]}
        assert [status["configurations"][key] for key in named] == [
            {"sohar": version}
        ]


async def test_drains_itself_and_other_members():
    """Guards against a drain of the wrong node or of none."""
    async with (
        store_and_client() as (store, _),
        running_nodes(2, store_url=store.url) as nodes,
    ):
        members_by_id = nodes[0].node.membership.members_by_id
        await wait_until(lambda: len(members_by_id) == 2)
        status, answer = await nodes[0].request(
            "POST", "/v1/drain", json={"node": "n1"}
        )
        assert (status, answer) == (202, {"node": "n1", "state": "draining"})
        assert nodes[1].node.draining.requested.is_set()
        assert not nodes[0].node.draining.requested.is_set()
        status, answer = await nodes[0].request("POST", "/v1/drain")
        assert (status, answer["node"]) == (202, "n0")
        assert nodes[0].node.draining.requested.is_set()
        status, answer = await nodes[0].request(
            "POST", "/v1/drain", json={"node": "n9"}
        )
        assert (status, answer["error"]["code"]) == (404, "not-found")


async def test_explains_the_rule_of_a_class_and_of_a_request():
    """Guards against an explanation that differs from what requests get."""
    async with (
        store_and_client() as (store, _),
        running_nodes(store_url=store.url) as [node],
    ):
        await node.apply(example_files(), 0)

        async def explain(query):
            return await node.request("GET", f"/v1/explain?{query}")

        _, by_class = await explain("service=bell&class=bell-command")
        _, by_path = await explain("service=bell&method=POST&path=/x")
        assert by_class == by_path
        assert by_class["routes"] == ["command-bell"]
        assert (by_class["priority"], by_class["run_once"]) == (100, True)
        assert (by_class["team"], by_class["timeout_ms"]) == ("sohar", 3000)
        assert not by_class["is_shed"]
        _, default = await explain("service=tide&path=/unrouted")
        assert default["routes"] == []
        assert "default_class" in default["reasons"][0]
        for query, hint in (
            ("service=bel&class=x", "'bell'"),
            ("service=bell&class=bell-comand", "'bell-command'"),
            ("service=bell&method=DELETE&path=/x", "no default_class"),
        ):
            status, answer = await explain(query)
            assert status == 404
            assert hint in answer["error"]["message"]
        status, _ = await explain("service=bell")
        assert status == 400


@pytest.mark.parametrize(
    ("method", "path", "options", "status", "code"),
    [
        ("GET", "/v1/nothing", {}, 404, "not-found"),
        ("DELETE", "/v1/status", {}, 405, "method-not-allowed"),
        ("POST", "/v1/filesets/a", {"data": b"{"}, 400, "invalid"),
        ("POST", "/v1/filesets/a", {"data": b"\xff"}, 400, "invalid"),
        ("POST", "/v1/filesets/a", {"data": b"[1]"}, 400, "invalid"),
        ("POST", "/v1/drain", {"json": {"nod": "x"}}, 400, "invalid"),
        ("GET", "/v1/filesets/a/in-force", {}, 400, "invalid"),
        ("GET", "/v1/filesets/a/in-force?version=x", {}, 400, "invalid"),
        (
            "POST",
            "/v1/drain",
            {"data": b"x", "headers": {"content-encoding": "gzip"}},
            415,
            "invalid",
        ),
        (
            "POST",
            "/v1/announce",
            {"data": b" " * (MAX_BODY_BYTES + 1)},
            413,
            "too-large",
        ),
    ],
)
async def test_responds_to_bad_requests_with_a_json_error(
    method, path, options, status, code
):
    """Guards against plain-text errors and a node that stops responding."""
    async with running_nodes() as [node]:
        actual_status, answer = await node.request(method, path, **options)
        assert (actual_status, answer["error"]["code"]) == (status, code)
        assert answer["error"]["message"]
        assert (await node.request("GET", "/v1/status"))[0] == 200


async def test_reports_internal_errors_as_json_without_details(monkeypatch):
    """Guards against tracebacks in responses."""
    async with running_nodes() as [node]:
        monkeypatch.setattr(node.node, "config", None)
        status, answer = await node.request("GET", "/v1/status")
        assert (status, answer["error"]["code"]) == (500, "internal")


async def test_accepts_only_a_valid_token():
    """Guards against an administration API that is open to anyone."""
    extra = f"[admin]\ntoken_hashes = {TOKEN_HASH.upper()}\n"
    async with running_nodes(extra=extra) as [node]:
        for token in (None, "", "wrong", TOKEN_HASH):
            status, answer = await node.request("GET", "/v1/status", token)
            assert (status, answer["error"]["code"]) == (401, "unauthorized")
            status, _ = await node.request("POST", "/v1/drain", token)
            assert status == 401
        assert not node.node.draining.requested.is_set()
        assert (await node.request("GET", "/v1/status", TOKEN))[0] == 200
        # Health checks and the upstream on the same VM send no token.
        assert (await node.request("GET", "/healthz"))[0] == 503
        body = {
            "service": "tide",
            "address": "127.0.0.1:1",
            "slots": 1,
            "connections": 1,
        }
        assert (await node.request("POST", "/v1/announce", json=body))[0] == 200


async def test_rejects_a_non_loopback_address_without_a_token():
    """Guards against a reachable API that needs no token."""
    text = (
        "[node]\nid = a\nzone = z\nregion = r\n"
        "[listen]\nadmin_address = 0.0.0.0\n"
    )
    settings = parse_node_settings("node.ini", text).ok
    with pytest.raises(SettingsError, match="token_hashes"):
        auth.check_access_settings(settings)


async def test_openapi_document_lists_exactly_the_routes_served():
    """Guards against an outdated OpenAPI document."""
    async with running_nodes() as [node]:
        _, document = await node.request("GET", "/v1/openapi.json")
        documented = {
            (method.upper(), path)
            for path, path_item in document["paths"].items()
            for method in path_item
        }
        served = {
            (route.method, route.resource.canonical)
            for route in node.node.admin.routes()
            if route.method != "HEAD"
        }
        assert documented == served


def test_openapi_document_references_only_existing_schemas():
    """Guards against references that a generated client cannot resolve."""
    document = build_document()
    defined = {
        f"#/components/schemas/{name}"
        for name in document["components"]["schemas"]
    }
    assert _references(document) <= defined


def _references(item):
    if isinstance(item, dict):
        own = {item["$ref"]} if "$ref" in item else set()
        return own.union(*map(_references, item.values()))
    if isinstance(item, list):
        return set().union(*map(_references, item))
    return set()


def test_measures_goodput_over_the_sampled_time():
    """Guards against totals since the start, which would hide an overload."""
    meter = GoodputMeter()
    assert meter.goodput(0, "a", 5) == 0
    meter.sample(1000, {"a": ClassTotals(ok=10)})
    assert meter.goodput(3000, "a", 30) == 10
    assert meter.goodput(1000, "a", 30) == 0
    assert meter.goodput(3000, "new", 4) == 2
