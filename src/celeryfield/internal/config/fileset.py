"""File sets: the compiled form of one team's directory of INI files."""

import asyncio
import dataclasses
import functools
import pathlib
import re
from collections.abc import Mapping, Sequence

from expression import Error, Ok, Result

from celeryfield.internal.config import checks, sections
from celeryfield.internal.config.paths import PathPattern, normalize_path
from celeryfield.internal.config.sections import NamedSections
from celeryfield.internal.inifile import Problem, read_text
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.fileset import ClassSection, ServiceSection

# All nodes compile a new set at the same time. 690,000 bytes took 2 s, long
# enough for a node to appear dead to its peers. The store accepts up to 1 MB.
MAX_FILE_SET_BYTES = 128_000
_FILE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,100}\.ini")


@dataclasses.dataclass(slots=True, frozen=True)
class Rule:
    """Settings that apply to a request.

    Attributes:
        service: Name of the service.
        class_name: Name of the class.
        route_name: Name of the route that matched, or an empty string for the
            default class of the service.
        service_settings: Section of the service.
        class_settings: Section of the class.
        timeout_ms: Deadline of a request that specifies none.
    """

    service: str
    class_name: str
    route_name: str
    service_settings: ServiceSection
    class_settings: ClassSection
    timeout_ms: float


@dataclasses.dataclass(slots=True, frozen=True)
class _CompiledRoute:
    """One route with its compiled path pattern."""

    method: str
    pattern: PathPattern
    rule: Rule


@dataclasses.dataclass(frozen=True)
class AppliedFileSet:
    """One file set with its version.

    Attributes:
        message: The set as it is stored and sent to peers.
        sections: The validated sections.
    """

    message: wire.FileSet
    sections: NamedSections

    @property
    def team(self) -> str:
        """Team that owns the set."""
        return self.message.team

    @property
    def version(self) -> int:
        """Version of the set; 0 before it is stored."""
        return self.message.version

    def since_version(self, kind: str, name: str) -> int:
        """Returns the version since which the team has defined a name."""
        return self._versions_by_name.get((kind, name), 0) or self.version

    @functools.cached_property
    def _versions_by_name(self) -> Mapping[tuple[str, str], int]:
        return {
            (claim.kind, claim.name): claim.since_version
            for claim in self.message.claims
        }

    @functools.cached_property
    def _routes_by_service(self) -> Mapping[str, list[_CompiledRoute]]:
        return _compile_routes(self.sections)

    def rule_for(self, service: str, method: str, path: str) -> Rule | None:
        """Returns the rule for a request, or none if it must be rejected."""
        settings = self.sections.services_by_name.get(service)
        if settings is None:
            return None
        method = method.upper()
        path = normalize_path(path)
        for route in self._routes_by_service.get(service, ()):
            if route.method in ("*", method) and route.pattern.matches(path):
                return route.rule
        return self._default_rule(service)

    def rules_for_service(self, service: str) -> list[Rule]:
        """Returns the rules for a service, the most specific route first."""
        rules = [
            route.rule for route in self._routes_by_service.get(service, ())
        ]
        default = self._default_rule(service)
        return [*rules, default] if default else rules

    def _default_rule(self, service: str) -> Rule | None:
        """Returns the rule for requests that no route matches."""
        class_name = self.sections.services_by_name[service].default_class
        if not class_name:
            return None
        return _make_rule(self.sections, service, class_name, "")


def _compile_routes(
    named: NamedSections,
) -> dict[str, list[_CompiledRoute]]:
    """Compiles the routes by service, the most specific first."""
    routes_by_service: dict[str, list[_CompiledRoute]] = {}
    for name, route in named.routes_by_name.items():
        rule = _make_rule(named, route.service, route.class_name, name)
        compiled = _CompiledRoute(
            route.method.upper(), PathPattern(route.path), rule
        )
        routes_by_service.setdefault(route.service, []).append(compiled)
    for routes in routes_by_service.values():
        routes.sort(key=_specificity)
    return routes_by_service


def _specificity(route: _CompiledRoute) -> tuple[bool, int, bool, str]:
    """Sort key: literal paths, long patterns and exact methods come first."""
    return (
        not route.pattern.is_literal,
        -route.pattern.literal_length,
        route.method == "*",
        route.rule.route_name,
    )


def _make_rule(
    named: NamedSections, service: str, class_name: str, route_name: str
) -> Rule:
    """Builds the rule for a service and class of one set."""
    service_settings = named.services_by_name[service]
    class_settings = named.classes_by_name[class_name]
    timeout_ms = class_settings.timeout_ms or service_settings.timeout_ms
    return Rule(
        service=service,
        class_name=class_name,
        route_name=route_name,
        service_settings=service_settings,
        class_settings=class_settings,
        timeout_ms=timeout_ms,
    )


def load_directory(
    directory: pathlib.Path | str,
) -> Result[AppliedFileSet, list[Problem]]:
    """Reads and checks the ``*.ini`` files of a directory.

    The set has version 0, since it is not in the store.
    """
    directory = pathlib.Path(directory)
    paths = sorted(directory.glob("*.ini"))
    if not paths:
        reason = "contains no *.ini file; specify the directory of a file set"
        return Error([Problem(str(directory), "", "", reason)])
    entries = []
    problems: list[Problem] = []
    for path in paths:
        match read_text(path):
            case Result(tag="ok", ok=text):
                entries.append(wire.FileEntry(path.name, text))
            case Result(error=file_problems):
                problems += file_problems
    if problems:
        return Error(problems)
    return compile_files(entries)


def compile_files(
    files: Sequence[wire.FileEntry],
) -> Result[AppliedFileSet, list[Problem]]:
    """Checks and compiles the files of a set that an operator provides."""
    size = sum(len(entry.name) + len(entry.text.encode()) for entry in files)
    if size > MAX_FILE_SET_BYTES:
        reason = (
            f"the set has {size} bytes, more than the limit of "
            f"{MAX_FILE_SET_BYTES}; split it between teams"
        )
        return Error([Problem("", "", "", reason)])
    named, problems = sections.collect_sections(files, allow_unknown=False)
    problems += _check_file_names(files)
    problems += checks.check(named)
    if problems:
        return Error(problems)
    message = wire.FileSet(
        team=named.fileset.team,
        files=tuple(files),
        claims=tuple(
            wire.NameClaim(kind, name) for kind, name in named.claimed_names()
        ),
    )
    return Ok(AppliedFileSet(message, named))


def _check_file_names(files: Sequence[wire.FileEntry]) -> list[Problem]:
    """Reports invalid and duplicate file names."""
    problems = []
    seen_names = set()
    for entry in files:
        if not _FILE_NAME.fullmatch(entry.name):
            reason = "is not a plain file name ending in .ini"
            problems.append(Problem(entry.name, "", "", reason))
        if entry.name in seen_names:
            reason = "is in the set twice; keep one of them"
            problems.append(Problem(entry.name, "", "", reason))
        seen_names.add(entry.name)
    return problems


def from_wire(message: wire.FileSet) -> Result[AppliedFileSet, list[Problem]]:
    """Compiles a set that comes from the store or a peer.

    Unknown keys and sections are ignored: the set was checked when it was
    applied, possibly by a newer version of celeryfield, and rejecting it would
    leave this node with an older set.
    """
    named, problems = sections.collect_sections(
        message.files, allow_unknown=True
    )
    problems += checks.check(named)
    if not problems and named.fileset.team != message.team:
        reason = f"belongs to {named.fileset.team!r}, not {message.team!r}"
        problems.append(Problem("", "fileset", "team", reason))
    if problems:
        return Error(problems)
    return Ok(AppliedFileSet(message, named))


async def from_wire_in_thread(
    message: wire.FileSet,
) -> Result[AppliedFileSet, list[Problem]]:
    """Compiles a set in a thread, so that the event loop keeps running."""
    return await asyncio.to_thread(from_wire, message)


def to_wire(applied: AppliedFileSet) -> wire.FileSet:
    """Returns the message that is stored and sent to peers."""
    return applied.message
