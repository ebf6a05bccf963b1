"""Cross checks between the sections of one file set."""

from collections.abc import Iterator

from celeryfield.internal.config.paths import PathPattern, normalize_path
from celeryfield.internal.config.sections import NamedSections
from celeryfield.internal.inifile import Problem, suggest_name
from celeryfield.internal.schema.fileset import ClassSection, RouteSection

# A hop keeps one extra attempt and passes the rest down, and chains are at
# most 25 deep, so no hop could spend a larger allowance.
MAX_RETRY_ALLOWANCE = 25
HTTP_METHODS = (
    "*",
    "GET",
    "HEAD",
    "POST",
    "PUT",
    "PATCH",
    "DELETE",
    "OPTIONS",
)


def check(named: NamedSections) -> list[Problem]:
    """Returns every contradiction within a set."""
    found = [*_check_classes(named), *_check_services(named)]
    found += _check_routes(named)
    return [
        Problem(named.files_by_section.get(title, ""), title, key, reason)
        for title, key, reason in found
    ]


SectionProblem = tuple[str, str, str]


def _check_classes(named: NamedSections) -> Iterator[SectionProblem]:
    """Checks each class for contradictory keys."""
    for name, section in named.classes_by_name.items():
        for key, reason in _class_problems(section):
            yield f"class {name}", key, reason


def _class_problems(section: ClassSection) -> Iterator[tuple[str, str]]:
    """Yields key and reason of each contradiction in one class."""
    if section.run_once and section.repeatable:
        yield "repeatable", "a run-once class may not be repeatable; set it no"
    if section.hedge:
        if not section.repeatable:
            yield "hedge", "only a repeatable class may be hedged; set it no"
        if section.retry_allowance == 0:
            yield "hedge", "hedges come out of retry_allowance; raise that"
        if section.long_running:
            yield "hedge", "a hedge would run long work twice; set it no"
    if section.retry_allowance > MAX_RETRY_ALLOWANCE:
        yield (
            "retry_allowance",
            f"{section.retry_allowance} is more than {MAX_RETRY_ALLOWANCE}, "
            "the depth of the deepest chain",
        )


def _check_services(named: NamedSections) -> Iterator[SectionProblem]:
    """Checks the default class of each service."""
    for name, section in named.services_by_name.items():
        title = f"service {name}"
        if section.default_class:
            reason = _unknown_name_reason(named, "class", section.default_class)
            if reason:
                yield title, "default_class", reason
        if name in section.calls:
            yield title, "calls", "names the service itself; remove it"


def _check_routes(named: NamedSections) -> Iterator[SectionProblem]:
    """Checks references, patterns and ambiguity of routes."""
    names_by_match: dict[tuple[str, str, str], str] = {}
    for name, route in named.routes_by_name.items():
        title = f"route {name}"
        for key, reason in _route_problems(named, route):
            yield title, key, reason
        match = (route.service, route.method.upper(), _match_key(route.path))
        first_name = names_by_match.setdefault(match, name)
        if first_name != name:
            reason = f"matches the same requests as [route {first_name}]"
            yield title, "path", reason


def _route_problems(
    named: NamedSections, route: RouteSection
) -> Iterator[tuple[str, str]]:
    """Yields key and reason of each problem of one route."""
    reason = _unknown_name_reason(named, "service", route.service)
    if reason:
        yield "service", reason
    reason = _unknown_name_reason(named, "class", route.class_name)
    if reason:
        yield "class_name", reason
    if route.method.upper() not in HTTP_METHODS:
        hint = suggest_name(route.method.upper(), HTTP_METHODS)
        yield "method", f"{route.method!r} is not a method; {hint}"
    if not route.path.startswith("/"):
        yield "path", f"{route.path!r} does not start with a slash"
    service = named.services_by_name.get(route.service)
    section = named.classes_by_name.get(route.class_name)
    if service and section and section.timeout_ms > service.timeout_ms:
        yield (
            "class_name",
            f"timeout_ms {section.timeout_ms:g} of class "
            f"{route.class_name!r} exceeds {service.timeout_ms:g}, the "
            f"longest deadline of service {route.service!r}",
        )


def _unknown_name_reason(named: NamedSections, kind: str, name: str) -> str:
    """Returns the reason if no file of the set defines a name."""
    if f"{kind} {name}" in named.files_by_section:
        return ""
    return (
        f"unknown {kind} {name!r}; {suggest_name(name, named.by_kind()[kind])}"
    )


def _match_key(path: str) -> str:
    """Returns equal texts for paths that match the same requests."""
    return normalize_path(path) if PathPattern(path).is_literal else path
