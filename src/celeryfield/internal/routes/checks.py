"""Checks of a configuration before it is sent.

Errors make an entry useless or ambiguous. Warnings are entries that never take
effect, and limits that contradict each other.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterable, Iterator

from celeryfield.internal.routes.entries import ConfigEntries
from celeryfield.internal.routes.table import CallerLimits, Route
from celeryfield.internal.routes.workspaces import Workspace


class Severity(enum.StrEnum):
    """How much a problem matters."""

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigProblem:
    """One problem.

    Attributes:
        severity: How much it matters.
        entry: Kind and name of the entry.
        reason: What is wrong.
    """

    severity: Severity
    entry: str
    reason: str

    def __str__(self) -> str:
        return f"{self.severity}: {self.entry}: {self.reason}"


def check(entries: ConfigEntries) -> list[ConfigProblem]:
    """Returns all problems of a configuration, errors first."""
    problems = [
        *_check_names(entries),
        *_check_routes(entries),
        *_check_services(entries),
        *_check_workspaces(entries),
        *_check_limits(entries.limits),
    ]
    return sorted(problems, key=lambda problem: problem.severity)


def _error(entry: str, reason: str) -> ConfigProblem:
    return ConfigProblem(Severity.ERROR, entry, reason)


def _warning(entry: str, reason: str) -> ConfigProblem:
    return ConfigProblem(Severity.WARNING, entry, reason)


def _check_names(entries: ConfigEntries) -> Iterator[ConfigProblem]:
    for kind, named in (
        ("route", entries.routes),
        ("service", entries.services),
        ("workspace", entries.workspaces),
    ):
        for name in _repeated(entry.name for entry in named):
            yield _error(f"{kind} {name}", "the name is used more than once")


def _check_routes(entries: ConfigEntries) -> Iterator[ConfigProblem]:
    services = {service.name for service in entries.services}
    seen: dict[tuple[str, str], str] = {}
    for route in entries.routes:
        entry = f"route {route.name}"
        place = (route.host, route.path_prefix)
        if place in seen:
            reason = f"route {seen[place]} has the same host and prefix"
            yield _error(entry, reason)
        seen.setdefault(place, route.name)
        for reason in _target_errors(route, services):
            yield _error(entry, reason)
        for reason in _unmatched_parts(route):
            yield _error(entry, reason)
        for reason in _weak_settings(route):
            yield _warning(entry, reason)


def _target_errors(route: Route, services: set[str]) -> Iterator[str]:
    """Yields why requests of a route find no service."""
    if not any(part.weight > 0 for part in route.weighted_services):
        yield "no service has a weight above 0"
    for part in route.weighted_services:
        if part.service not in services:
            yield f"service {part.service} is not defined"


def _unmatched_parts(route: Route) -> Iterator[str]:
    """Yields why no request can match a route."""
    if ":" in route.host:
        yield "hosts are matched without their port; no request matches"
    if any(char in route.path_prefix for char in "?# "):
        yield "paths end before a query; no request matches the prefix"


def _weak_settings(route: Route) -> Iterator[str]:
    """Yields settings of a route that never take effect."""
    for part in route.weighted_services:
        if part.weight == 0:
            yield f"service {part.service} has weight 0 and gets no requests"
    if 0 < route.timeout_ms < route.target_latency_ms:
        yield (
            f"the timeout of {route.timeout_ms:g} ms is below the target "
            f"latency of {route.target_latency_ms:g} ms"
        )


def _check_services(entries: ConfigEntries) -> Iterator[ConfigProblem]:
    used = {
        part.service
        for route in entries.routes
        for part in route.weighted_services
    }
    for service in entries.services:
        if service.name not in used:
            yield _warning(f"service {service.name}", "no route leads to it")


def _check_workspaces(entries: ConfigEntries) -> Iterator[ConfigProblem]:
    holders: dict[bytes, str] = {}
    for workspace in entries.workspaces:
        entry = f"workspace {workspace.name}"
        for digest in workspace.key_digests:
            holder = holders.setdefault(digest, workspace.name)
            if holder != workspace.name:
                yield _error(entry, f"workspace {holder} has one of its keys")
        for reason in _unused_settings(workspace):
            yield _warning(entry, reason)
    routes = entries.routes
    if entries.workspaces and routes and all(each.is_public for each in routes):
        yield _warning("workspaces", "all routes are public; no key is asked")


def _unused_settings(workspace: Workspace) -> Iterator[str]:
    """Yields settings of a workspace that never take effect."""
    if not workspace.key_digests:
        yield "it has no key, so no request belongs to it"
    if workspace.burst > 0 and not workspace.is_limited:
        yield "a burst without a rate limits nothing"
    if workspace.is_limited and workspace.burst < 1:
        yield "the burst is below one request"


def _check_limits(limits: CallerLimits) -> Iterator[ConfigProblem]:
    if limits.header_timeout_ms > limits.idle_timeout_ms:
        yield _warning(
            "limits",
            f"the header timeout of {limits.header_timeout_ms:g} ms exceeds "
            f"the idle timeout of {limits.idle_timeout_ms:g} ms",
        )


def _repeated(names: Iterable[str]) -> list[str]:
    """Returns the names that occur more than once."""
    counts = collections.Counter(names)
    return [name for name, count in counts.items() if count > 1]
