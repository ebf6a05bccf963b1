"""Differences between two versions of a configuration."""

import dataclasses
from collections.abc import Iterator

from celeryfield.internal.config.diff import Change, ChangeKind
from celeryfield.internal.routes.entries import ConfigEntries
from celeryfield.internal.routes.table import Route
from celeryfield.internal.routes.workspaces import Workspace


def diff_entries(old: ConfigEntries, new: ConfigEntries) -> list[Change]:
    """Returns what a new version changes; the order of entries is ignored.

    Keys are counted, never shown.
    """
    return [
        *_named_changes("route", old.routes, new.routes),
        *_named_changes("service", old.services, new.services),
        *_named_changes("workspace", old.workspaces, new.workspaces),
        *_field_changes("limits", old.limits, new.limits),
    ]


def _named_changes(kind: str, old: tuple, new: tuple) -> Iterator[Change]:
    """Yields the changes of all entries of one kind."""
    old_by_name = {entry.name: entry for entry in old}
    new_by_name = {entry.name: entry for entry in new}
    for name in sorted(old_by_name.keys() | new_by_name.keys()):
        title = f"{kind} {name}"
        if name not in old_by_name:
            yield Change(ChangeKind.ADDED, title)
        elif name not in new_by_name:
            yield Change(ChangeKind.REMOVED, title)
        else:
            yield from _field_changes(
                title, old_by_name[name], new_by_name[name]
            )


def _field_changes(title: str, old: object, new: object) -> Iterator[Change]:
    """Yields the changed fields of one entry."""
    for field in dataclasses.fields(old):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before == after:
            continue
        if isinstance(old, Workspace) and field.name == "key_digests":
            yield _key_change(title, before, after)
            continue
        yield Change(
            ChangeKind.CHANGED,
            title,
            field.name,
            _format(old, before),
            _format(new, after),
        )


def _key_change(
    title: str, before: frozenset[bytes], after: frozenset[bytes]
) -> Change:
    added, removed = len(after - before), len(before - after)
    return Change(
        ChangeKind.CHANGED,
        title,
        "keys",
        f"{len(before)}",
        f"{len(after)} ({added} added, {removed} removed)",
    )


def _format(entry: object, value: object) -> str:
    if isinstance(entry, Route) and isinstance(value, tuple):
        return ", ".join(f"{part.service} {part.weight:g}" for part in value)
    return str(value)
