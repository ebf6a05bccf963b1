"""Differences between two file sets in a readable form."""

import dataclasses
import enum

import pydantic

from celeryfield.internal.config.fileset import AppliedFileSet
from celeryfield.internal.config.sections import NamedSections


class ChangeKind(enum.StrEnum):
    """Kind of a change; the value is the symbol in a formatted diff."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """One difference between two file sets.

    Attributes:
        kind: Added, removed or changed.
        section: Title of the section.
        key: Key, or an empty string for a whole section.
        old: Old value as text, or an empty string for none.
        new: New value as text, or an empty string for none.
    """

    kind: ChangeKind
    section: str
    key: str = ""
    old: str = ""
    new: str = ""

    def __str__(self) -> str:
        if not self.key:
            return f"{self.kind} [{self.section}]"
        values = f"{self.old or 'none'} -> {self.new or 'none'}"
        return f"{self.kind} [{self.section}] {self.key}: {values}"


def diff_sets(
    old: AppliedFileSet | None, new: AppliedFileSet | None
) -> list[Change]:
    """Returns the differences in effect; ignores comments and order."""
    old_by_title = _sections_by_title(old.sections if old else None)
    new_by_title = _sections_by_title(new.sections if new else None)
    changes = []
    for title in sorted(old_by_title.keys() | new_by_title.keys()):
        old_section = old_by_title.get(title)
        new_section = new_by_title.get(title)
        if old_section is None:
            changes.append(Change(ChangeKind.ADDED, title))
            changes += _key_changes(title, None, new_section)
        elif new_section is None:
            changes.append(Change(ChangeKind.REMOVED, title))
        else:
            changes += _key_changes(title, old_section, new_section)
    return changes


def format_diff(changes: list[Change]) -> str:
    """Formats the changes, one per line."""
    if not changes:
        return "no difference in effect"
    return "\n".join(str(change) for change in changes)


def _sections_by_title(
    named: NamedSections | None,
) -> dict[str, pydantic.BaseModel]:
    """Returns all sections of a set by title."""
    if named is None:
        return {}
    sections_by_title: dict[str, pydantic.BaseModel] = {
        "fileset": named.fileset
    }
    for kind, sections_by_name in named.by_kind().items():
        for name, section in sections_by_name.items():
            sections_by_title[f"{kind} {name}"] = section
    return sections_by_title


def _key_changes(
    title: str, old: pydantic.BaseModel | None, new: pydantic.BaseModel
) -> list[Change]:
    """Returns the changed keys, or all keys that a new section sets."""
    if old is None:
        return [
            Change(
                ChangeKind.ADDED,
                title,
                key,
                "",
                _format_value(getattr(new, key)),
            )
            for key in type(new).model_fields
            if key in new.model_fields_set
        ]
    return [
        Change(
            ChangeKind.CHANGED,
            title,
            key,
            _format_value(getattr(old, key)),
            _format_value(value),
        )
        for key, value in new
        if value != getattr(old, key)
    ]


def _format_value(value: object) -> str:
    """Formats a value as in an INI file."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple):
        return ", ".join(str(item) for item in value)
    if isinstance(value, float):
        return f"{value:g}"
    return str(value)
