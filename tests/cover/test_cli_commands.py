"""Commands against running nodes and against servers with bad responses."""

import asyncio
import contextlib
import json
import shutil

import pytest
from aiohttp import web
from cover.admin_helpers import EXAMPLE, running_nodes
from cover.store_helpers import store_and_client, wait_until
from cover.test_admin_api import TOKEN, TOKEN_HASH
from typer.testing import CliRunner

from celeryfield.cli import main as cli
from celeryfield.cli.exits import ExitCode
from celeryfield.standins.cluster import Cluster, NodePlan
from celeryfield.standins.upstream import Endpoint


async def run_command(*arguments, **env):
    """Runs a command in a thread, so that this event loop can serve it."""
    result = await asyncio.to_thread(
        CliRunner().invoke, cli.app, list(arguments), env=env
    )
    assert result.exception is None or isinstance(result.exception, SystemExit)
    assert "Traceback" not in result.stderr
    return result


@contextlib.asynccontextmanager
async def fake_node(handler):
    """Serves every request with one handler and yields the URL."""
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", handler)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    try:
        yield f"http://127.0.0.1:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()


@pytest.fixture
def directory(tmp_path):
    """A copy of an example file set."""
    return shutil.copytree(EXAMPLE, tmp_path / "sohar")


def edit_services_file(directory, old, new):
    path = directory / "services.ini"
    path.write_text(path.read_text(encoding="utf-8").replace(old, new))


async def test_check_prints_all_problems(directory):
    """Guards against a check that stops at the first problem."""
    assert (await run_command("check", str(directory))).exit_code == ExitCode.OK
    edit_services_file(directory, "slots = 10", "slots = many")
    edit_services_file(
        directory, "default_class = tide-status", "default_class = tides"
    )
    result = await run_command("check", str(directory))
    assert result.exit_code == ExitCode.INVALID
    lines = result.stderr.splitlines()
    assert [line.split(": ")[1] for line in lines] == [
        "services.ini, [service timetable], slots",
        "services.ini, [service tide], default_class",
    ]


async def test_apply_diff_conflict_and_store_outage(directory):
    """Guards against an apply that overwrites a concurrent change.

    An apply based on an older version must fail as a conflict and show the
    difference; without the store, it must say that nothing was applied.
    """
    async with (
        store_and_client() as (store, _),
        running_nodes(store_url=store.url) as [node],
    ):
        admin = ("--admin", node.url)
        result = await run_command(
            "apply", str(directory), *admin, "--author", "ann"
        )
        assert result.exit_code == ExitCode.OK, result.stderr
        assert "in force at 1 of 1 nodes" in result.stdout
        base = node.node.config.versions_by_team["sohar"]
        result = await run_command("diff", str(directory), *admin)
        assert "no difference in effect" in result.stdout
        edit_services_file(directory, "slots = 10", "slots = 11")
        result = await run_command("diff", str(directory), *admin)
        assert "~ [service timetable] slots: 10 -> 11" in result.stdout
        assert (
            await run_command("apply", str(directory), *admin)
        ).exit_code == 0
        edit_services_file(directory, "slots = 11", "slots = 12")
        result = await run_command(
            "apply", str(directory), *admin, "--base", str(base)
        )
        assert result.exit_code == ExitCode.CONFLICT
        assert "~ [service timetable] slots: 11 -> 12" in result.stderr
        store.set_down(True)
        result = await run_command("apply", str(directory), *admin)
        assert result.exit_code == ExitCode.UNAVAILABLE
        assert "nothing was applied" in result.stderr


async def test_apply_names_lagging_nodes_after_the_timeout(directory):
    """Guards against an apply that succeeds while nodes lack the version."""
    in_force = {
        "team": "sohar",
        "version": 7,
        "members": 2,
        "in_force": 1,
        "behind": 1,
        "unknown": 0,
        "is_everywhere": False,
        "missing": ["n2"],
    }

    async def handler(request):
        if request.method == "POST":
            return web.json_response({"team": "sohar", "version": 7})
        return web.json_response(in_force)

    async with fake_node(handler) as url:
        arguments = ("apply", str(directory), "--base", "0", "--admin", url)
        result = await run_command(*arguments, "--timeout", "0.1")
        assert result.exit_code == ExitCode.NOT_IN_FORCE
        assert "in force at 1 of 2 nodes" in result.stdout
        assert "still missing: n2" in result.stderr


async def test_operator_can_apply_again_what_a_restored_store_has_lost(
    directory,
):
    """Guards against a lost set that the commands neither show nor replace."""
    async with (
        store_and_client() as (store, _),
        running_nodes(store_url=store.url) as [node],
    ):
        admin = ("--admin", node.url)
        await run_command("apply", str(directory), *admin)
        kept = store.objects_by_key["config/sohar"]
        edit_services_file(directory, "slots = 10", "slots = 11")
        await run_command("apply", str(directory), *admin)
        while store.objects_by_key["config/sohar"] is not kept:
            store.restore(1)
        line = f"file set sohar; apply it again with --base {kept.version}"
        shown = ""
        async with asyncio.timeout(60):
            while line not in shown:
                shown = (await run_command("status", *admin)).stdout
        refused = await run_command("apply", str(directory), *admin)
        assert refused.exit_code == ExitCode.CONFLICT
        assert f"has version {kept.version}, not" in refused.stderr
        applied = await run_command(
            "apply", str(directory), "--base", str(kept.version), *admin
        )
        assert applied.exit_code == ExitCode.OK, applied.stderr
        shown = (await run_command("status", *admin)).stdout
        assert "lost by the store" not in shown


async def test_status_and_explain_show_the_state_of_a_node(directory):
    """Guards against commands that cannot show a node's responses."""
    async with (
        store_and_client() as (store, _),
        running_nodes(store_url=store.url) as [node],
    ):
        admin = ("--admin", node.url)
        await run_command("apply", str(directory), *admin)
        result = await run_command("status", *admin)
        assert "node n0 in z1: ready" in result.stdout
        assert "file set sohar: version" in result.stdout
        status = json.loads(
            (await run_command("status", "--json", *admin)).stdout
        )
        assert list(status["configuration"]) == ["sohar"]
        result = await run_command("explain", "bell", "bell-command", *admin)
        assert "bell bell-command: priority 100, run once" in result.stdout
        result = await run_command("explain", "tide", "--path", "/x", *admin)
        assert "default_class of [service tide]" in result.stdout
        result = await run_command("explain", "bell", "nothing", *admin)
        assert result.exit_code == ExitCode.FAILED
        result = await run_command("explain", "bell", *admin)
        assert result.exit_code == ExitCode.USAGE


async def test_token_is_sent_from_option_or_environment():
    """Guards against a token that is ignored or sent in the wrong form."""
    extra = f"[admin]\ntoken_hashes = {TOKEN_HASH}\n"
    async with running_nodes(extra=extra) as [node]:
        admin = ("--admin", node.url)
        result = await run_command("status", *admin)
        assert result.exit_code == ExitCode.DENIED
        result = await run_command("status", *admin, "--token", TOKEN)
        assert result.exit_code == ExitCode.OK
        result = await run_command("status", *admin, CELERYFIELD_TOKEN=TOKEN)
        assert result.exit_code == ExitCode.OK


async def _not_json(request):
    return web.Response(text="<html>gateway</html>")


async def _wrong_json(request):
    return web.json_response({"hello": 1})


async def _redirect(request):
    raise web.HTTPFound("http://127.0.0.1:1/")


async def _cut_off(request):
    request.transport.abort()
    return web.Response()


@pytest.mark.parametrize(
    "handler", [_not_json, _wrong_json, _redirect, _cut_off]
)
async def test_unusable_response_is_unavailable_or_unknown(directory, handler):
    """Guards against a lost apply that is reported as not done.

    The change may have been made, so the outcome is unknown. A read-only
    command must print one line, without a traceback.
    """
    async with fake_node(handler) as url:
        result = await run_command("status", "--admin", url)
        assert result.exit_code == ExitCode.UNAVAILABLE
        assert len(result.stderr.splitlines()) == 1
        arguments = ("apply", str(directory), "--base", "0", "--admin", url)
        result = await run_command(*arguments)
        assert result.exit_code == ExitCode.UNKNOWN
        assert "may have been made or not" in result.stderr


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (("status", "--admin", "http://127.0.0.1:1"), ExitCode.UNAVAILABLE),
        (("drain", "n1", "--admin", "http://127.0.0.1:1"), 5),
        (("status", "--admin", "127.0.0.1:7302"), ExitCode.USAGE),
        (("status", "--admin", "http://127.0.0.1:99999"), ExitCode.USAGE),
        (("status", "--ca", "/no/such.pem"), ExitCode.USAGE),
    ],
)
async def test_unusable_address_is_reported_on_one_line(arguments, code):
    """Guards against tracebacks when no node can be reached."""
    result = await run_command(*arguments)
    assert result.exit_code == code
    assert len(result.stderr.splitlines()) == 1
    assert result.stderr.startswith("error: ")


def test_unexpected_error_is_reported_on_one_line(monkeypatch, capsys):
    """Guards against tracebacks from bugs in the program itself."""

    def crash():
        raise RuntimeError("broken")

    monkeypatch.setattr(cli, "app", crash)
    with pytest.raises(SystemExit) as exit_info:
        cli.main()
    assert exit_info.value.code == ExitCode.FAILED
    assert capsys.readouterr().err.count("\n") == 1


async def test_drained_node_finishes_its_calls_and_ends_its_process(directory):
    """Guards against a drain that aborts calls or does not end the process."""
    plans = [
        NodePlan("tide-1", "tide", endpoints=(Endpoint("/", 800),)),
        NodePlan("front-1"),
    ]
    async with Cluster(plans) as cluster:
        await cluster.apply(directory)
        await cluster.wait_ready()
        node = cluster.nodes_by_id["tide-1"]
        front_node = cluster.nodes_by_id["front-1"]
        call = asyncio.ensure_future(
            cluster.session.get(f"{front_node.caller_url}/tide/tides/now")
        )
        async with asyncio.timeout(10):
            while not ((await cluster.status(node))["local"]["in_flight"]):
                await asyncio.sleep(0.02)
        classes = (await cluster.status(front_node))["classes"]
        assert classes["tide-status"]["in_flight"] == 1
        result = await run_command(
            "drain", "tide-1", "--admin", front_node.admin_url
        )
        assert result.exit_code == ExitCode.OK, result.stderr
        async with await call as response:
            assert response.status == 200
        totals = (await cluster.status(front_node))["classes"]["tide-status"]
        assert (totals["in_flight"], totals["ok"]) == (0, 1)
        assert totals["goodput"] > 0
        await wait_until(lambda: not node.is_running)
        assert await node.stop() == 0
        messages = [entry["message"] for entry in node.log]
        assert "drain requested" in messages
        assert "node has left" in messages
