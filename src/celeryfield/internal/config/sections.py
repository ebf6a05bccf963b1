"""Reads the named sections in the files of one set."""

import dataclasses
import re
from collections.abc import Iterator, Sequence

import pydantic
from expression import Result

from celeryfield.internal.inifile import (
    Problem,
    parse_sections,
    suggest_name,
    validate_section,
)
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.fileset import (
    ClassSection,
    FileSetSection,
    RouteSection,
    ServiceSection,
    WorkspaceSection,
)

MODELS_BY_KIND: dict[str, type[pydantic.BaseModel]] = {
    "service": ServiceSection,
    "class": ClassSection,
    "route": RouteSection,
    "workspace": WorkspaceSection,
}
# Renamed kinds of section, so that the error for a file that was written for an
# earlier version can give the new name.
_NEW_KIND_BY_OLD_KIND = {"tenant": "workspace"}
# Names are used as metric labels and in URLs and store keys.
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_MISSING_FILESET = FileSetSection(team="")


@dataclasses.dataclass(slots=True)
class NamedSections:
    """The sections of one set by name.

    Attributes:
        fileset: Section [fileset].
        services_by_name: Sections [service NAME].
        classes_by_name: Sections [class NAME].
        routes_by_name: Sections [route NAME].
        workspaces_by_name: Sections [workspace NAME].
        files_by_section: Name of the file that defines a section, by title.
            Includes sections with invalid keys, so that references to them are
            not reported as well.
    """

    fileset: FileSetSection = _MISSING_FILESET
    services_by_name: dict[str, ServiceSection] = dataclasses.field(
        default_factory=dict
    )
    classes_by_name: dict[str, ClassSection] = dataclasses.field(
        default_factory=dict
    )
    routes_by_name: dict[str, RouteSection] = dataclasses.field(
        default_factory=dict
    )
    workspaces_by_name: dict[str, WorkspaceSection] = dataclasses.field(
        default_factory=dict
    )
    files_by_section: dict[str, str] = dataclasses.field(default_factory=dict)

    def by_kind(self) -> dict[str, dict[str, pydantic.BaseModel]]:
        """Returns the sections by kind and name."""
        return {
            "service": self.services_by_name,
            "class": self.classes_by_name,
            "route": self.routes_by_name,
            "workspace": self.workspaces_by_name,
        }

    def claimed_names(self) -> Iterator[tuple[str, str]]:
        """Yields the kind and name of each section that only one team may own.

        Routes belong to a single set, and every team may set the weight of a
        workspace for its own services.
        """
        yield from (("service", name) for name in self.services_by_name)
        yield from (("class", name) for name in self.classes_by_name)


def collect_sections(
    files: Sequence[wire.FileEntry], allow_unknown: bool
) -> tuple[NamedSections, list[Problem]]:
    """Reads the sections of all files.

    Args:
        files: Names and texts of the files.
        allow_unknown: Ignore unknown keys and unknown kinds of section.

    Returns:
        The valid sections, and the problems of all others.
    """
    named = NamedSections()
    problems: list[Problem] = []
    for entry in files:
        parsed = parse_sections(entry.name, entry.text)
        problems += parsed.problems
        for title, values in parsed.values_by_section.items():
            problems += _add_section(
                named, entry.name, title, values, allow_unknown
            )
    if "fileset" not in named.files_by_section:
        reason = "required section is missing; add it with 'team = NAME'"
        problems.append(Problem("", "fileset", "", reason))
    return named, problems


def _add_section(
    named: NamedSections,
    file: str,
    title: str,
    values_by_key: dict[str, str],
    allow_unknown: bool,
) -> list[Problem]:
    """Validates one section and adds it to the sections of the set."""
    kind, _, name = title.partition(" ")
    name = name.strip()
    reason = _title_problem(kind, name)
    if reason:
        if allow_unknown and kind not in MODELS_BY_KIND:
            return []
        return [Problem(file, title, "", reason)]
    title = f"{kind} {name}".strip()
    first_file = named.files_by_section.setdefault(title, file)
    if first_file != file:
        reason = f"is also in {first_file}; keep one of them"
        return [Problem(file, title, "", reason)]
    model = MODELS_BY_KIND.get(kind, FileSetSection)
    match validate_section(model, file, title, values_by_key, allow_unknown):
        case Result(tag="ok", ok=section):
            return _store_section(named, file, kind, name, section)
        case Result(error=problems):
            return problems


def _title_problem(kind: str, name: str) -> str:
    """Returns why a section title is invalid, or an empty string."""
    if kind == "fileset":
        return "must have no name; write [fileset]" if name else ""
    if kind in _NEW_KIND_BY_OLD_KIND:
        new_title = f"{_NEW_KIND_BY_OLD_KIND[kind]} {name}".strip()
        return f"this kind of section was renamed; write [{new_title}]"
    if kind not in MODELS_BY_KIND:
        known_kinds = [*MODELS_BY_KIND, "fileset"]
        return f"unknown kind of section; {suggest_name(kind, known_kinds)}"
    if not _NAME.fullmatch(name):
        return (
            f"{name!r} is not a name; use 1 to 63 letters, digits, dots, "
            "hyphens and underscores, and begin with a letter or digit"
        )
    return ""


def _store_section(
    named: NamedSections,
    file: str,
    kind: str,
    name: str,
    section: pydantic.BaseModel,
) -> list[Problem]:
    """Stores a validated section under its kind and name."""
    if isinstance(section, FileSetSection):
        named.fileset = section
        if _NAME.fullmatch(section.team):
            return []
        reason = f"{section.team!r} is not a valid name; use letters and digits"
        return [Problem(file, "fileset", "team", reason)]
    if isinstance(section, ClassSection):
        section = _apply_run_once_default(section)
    named.by_kind()[kind][name] = section
    return []


def _apply_run_once_default(section: ClassSection) -> ClassSection:
    """Sets repeatable to False for a run-once class that leaves it unset."""
    if section.run_once and "repeatable" not in section.model_fields_set:
        return section.model_copy(update={"repeatable": False})
    return section
