"""Writes the reference tables of docs/operators.md and docs/OPERATIONS.md.

The tables come from the settings models, the exit codes, the administration
operations and the log events. Each table stands between two marker comments;
the rest of a page is not changed.
"""

import argparse
import inspect
import logging
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).parents[1]
OPERATORS_PAGE = ROOT / "docs" / "operators.md"
OPERATIONS_PAGE = ROOT / "docs" / "OPERATIONS.md"
sys.path.insert(0, str(ROOT / "src"))

from celeryfield.cli.exits import ExitCode  # noqa: E402
from celeryfield.internal import events  # noqa: E402
from celeryfield.internal.admin.operations import OPERATIONS  # noqa: E402
from celeryfield.internal.schema import fileset  # noqa: E402
from celeryfield.internal.schema.settings import NodeSettings  # noqa: E402

FILE_SET_MODELS = (
    fileset.FileSetSection,
    fileset.ServiceSection,
    fileset.ClassSection,
    fileset.RouteSection,
    fileset.WorkspaceSection,
)
TYPE_NAMES = {
    int: "whole number",
    float: "number",
    bool: "yes or no",
    str: "text",
}


def table(titles, rows):
    """Returns the lines of a Markdown table."""
    lines = [titles, ["---"] * len(titles), *rows]
    return [f"| {' | '.join(line)} |" for line in lines]


def key_row(name, field):
    """Returns the table row of one settings key."""
    bounds = [
        f"{mark} {getattr(item, attribute):g}"
        for item in field.metadata
        for attribute, mark in (("ge", "at least"), ("le", "at most"))
        if hasattr(item, attribute)
    ]
    kind = TYPE_NAMES.get(field.annotation, "list, separated by commas")
    return [
        f"`{name}`",
        ", ".join([kind, *bounds]),
        "required" if field.is_required() else default_text(field.default),
        field.description or "",
    ]


def default_text(default):
    """Returns a default value in INI notation."""
    if isinstance(default, bool):
        return "yes" if default else "no"
    if default in ("", ()):
        return "empty"
    return f"{default:.10g}" if isinstance(default, float) else str(default)


def section_lines(model):
    """Returns the heading and the table of one section."""
    rows = [key_row(*item) for item in model.model_fields.items()]
    titles = ["key", "value", "default", "meaning"]
    return [f"**{model.__doc__}**", "", *table(titles, rows), ""]


def settings_lines():
    """Returns the tables of the node settings."""
    models = [field.annotation for field in NodeSettings.model_fields.values()]
    return [line for model in models for line in section_lines(model)][:-1]


def fileset_lines():
    """Returns the tables of file sets."""
    models = FILE_SET_MODELS
    return [line for model in models for line in section_lines(model)][:-1]


def exit_code_lines():
    """Returns the table of exit codes."""
    meanings = dict(re.findall(r"^ +([A-Z_]+): (.+)$", ExitCode.__doc__, re.M))
    rows = [[str(code.value), meanings[code.name]] for code in ExitCode]
    return table(["code", "meaning"], rows)


def operation_lines():
    """Returns the table of the administration API."""
    rows = [
        [
            f"`{operation.method} {operation.path}`",
            operation.summary,
            ", ".join(
                str(status)
                for status in (operation.status, *operation.error_statuses)
            ),
        ]
        for operation in OPERATIONS
    ]
    return table(["request", "what it does", "status"], rows)


def event_lines():
    """Returns the table of log events."""
    rows = [event_row(event) for event in events.all_events()]
    return table(["event", "when", "level", "kept per second", "fields"], rows)


def event_row(event):
    """Returns the table row of one event."""
    text = inspect.cleandoc(event.__doc__)
    summary, _, details = text.partition("\n\nAttributes:\n")
    if not details and event.__base__ is not events.Event:
        fields = f"those of *{event.__base__.message}*"
    else:
        joined = re.sub(r"\n {8,}", " ", details)
        found = re.findall(r"^ {4}(\w+): (.+)$", joined, re.M)
        fields = "; ".join(
            f"`{name}`: {meaning.rstrip('.')}" for name, meaning in found
        )
    kept = "all" if event.per_second is None else str(event.per_second)
    level = logging.getLevelName(event.level)
    when = " ".join(summary.split())
    return [f"`{event.message}`", when, level, kept, fields or "none"]


TABLES_BY_PAGE = {
    OPERATORS_PAGE: {
        "settings": settings_lines,
        "filesets": fileset_lines,
        "exits": exit_code_lines,
        "operations": operation_lines,
    },
    OPERATIONS_PAGE: {"events": event_lines},
}


def render(page):
    """Returns the text of a page with current tables.

    Exits if the page lacks a marker.
    """
    text = page.read_text(encoding="utf-8")
    for name, build_lines in TABLES_BY_PAGE[page].items():
        start = f"<!-- generated: {name} -->"
        end = f"<!-- end: {name} -->"
        before, _, rest = text.partition(start)
        _, found_end, after = rest.partition(end)
        if not found_end:
            sys.exit(f"{page} lacks {start} or {end}")
        body = "\n".join(build_lines())
        text = f"{before}{start}\n\n{body}\n\n{end}{after}"
    return text


def main():
    """Writes the tables, or with ``--check`` exits if one is stale."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    arguments = parser.parse_args()
    for page in TABLES_BY_PAGE:
        text = page.read_text(encoding="utf-8")
        current = render(page)
        if not arguments.check:
            page.write_text(current, encoding="utf-8")
        elif text != current:
            sys.exit(f"{page} is stale; run tools/generate_reference.py")


if __name__ == "__main__":
    main()
