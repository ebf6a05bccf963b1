"""Checks that span several keys or sections of one file set."""

from collections.abc import Iterator

from celeryfield.internal.config.paths import PathPattern, normalize_path
from celeryfield.internal.config.sections import NamedSections
from celeryfield.internal.inifile import Problem, suggest_name
from celeryfield.internal.schema.fileset import ClassSection, RouteSection

# Each hop keeps one extra attempt and passes the rest on, and call chains have
# at most 25 hops, so a larger allowance could not be used up.
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
    """Returns every contradiction and unknown reference in a set."""
    section_problems = [*_check_classes(named), *_check_services(named)]
    section_problems += _check_routes(named)
    return [
        Problem(named.files_by_section.get(title, ""), title, key, reason)
        for title, key, reason in section_problems
    ]


SectionProblem = tuple[str, str, str]


def _check_classes(named: NamedSections) -> Iterator[SectionProblem]:
    """Yields the contradictions between the keys of each class."""
    for name, section in named.classes_by_name.items():
        for key, reason in _class_problems(section):
            yield f"class {name}", key, reason


def _class_problems(section: ClassSection) -> Iterator[tuple[str, str]]:
    """Yields the key and reason of each contradiction in one class."""
    if section.run_once and section.repeatable:
        yield (
            "repeatable",
            "a run-once class may not be repeatable; set repeatable = no",
        )
    if section.hedge:
        if not section.repeatable:
            yield (
                "hedge",
                "only a repeatable class may be hedged; set hedge = no",
            )
        if section.retry_allowance == 0:
            yield "hedge", "hedges use up retry_allowance, which is 0; raise it"
        if section.long_running:
            yield (
                "hedge",
                "a hedge would run long requests twice; set hedge = no",
            )
    if section.retry_allowance > MAX_RETRY_ALLOWANCE:
        yield (
            "retry_allowance",
            f"{section.retry_allowance} is more than {MAX_RETRY_ALLOWANCE}, "
            "the greatest depth of a call chain",
        )


def _check_services(named: NamedSections) -> Iterator[SectionProblem]:
    """Yields the problems in the keys of each service."""
    for name, section in named.services_by_name.items():
        title = f"service {name}"
        if section.default_class:
            reason = _unknown_name_reason(named, "class", section.default_class)
            if reason:
                yield title, "default_class", reason
        if name in section.calls:
            yield title, "calls", "contains the service itself; remove it"


def _check_routes(named: NamedSections) -> Iterator[SectionProblem]:
    """Yields the problems of each route, and ambiguous routes."""
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
    """Yields the key and reason of each problem of one route."""
    reason = _unknown_name_reason(named, "service", route.service)
    if reason:
        yield "service", reason
    reason = _unknown_name_reason(named, "class", route.class_name)
    if reason:
        yield "class_name", reason
    if route.method.upper() not in HTTP_METHODS:
        hint = suggest_name(route.method.upper(), HTTP_METHODS)
        yield "method", f"unknown HTTP method {route.method!r}; {hint}"
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
    """Returns why a name is unknown, or an empty string if it is defined."""
    if f"{kind} {name}" in named.files_by_section:
        return ""
    return (
        f"unknown {kind} {name!r}; {suggest_name(name, named.by_kind()[kind])}"
    )


def _match_key(path: str) -> str:
    """Returns a text that is equal for paths that match the same requests."""
    return normalize_path(path) if PathPattern(path).is_literal else path
