"""Test that the modules of the program have no circular imports."""

import ast
import graphlib
import pathlib

import pytest

import celeryfield

ROOT = pathlib.Path(celeryfield.__file__).parent


def module_name(path):
    parts = path.relative_to(ROOT.parent).with_suffix("").parts
    return ".".join(part for part in parts if part != "__init__")


def imported_names(tree):
    """Yields the imported names, including those for type checkers only."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            for alias in node.names:
                yield f"{node.module}.{alias.name}"
                yield node.module


def import_graph():
    """Returns the modules of the program, each with those it imports."""
    paths = {module_name(path): path for path in ROOT.rglob("*.py")}
    packages = {
        name for name, path in paths.items() if path.name == "__init__.py"
    }
    graph = {}
    for name, path in paths.items():
        tree = ast.parse(path.read_text(encoding="utf-8"))
        found = set(imported_names(tree)) & paths.keys()
        graph[name] = found - packages - {name}
    return graph


def test_there_are_no_circular_imports():
    """Guards against modules that cannot be read or tested on their own."""
    try:
        graphlib.TopologicalSorter(import_graph()).prepare()
    except graphlib.CycleError as error:
        pytest.fail(" -> ".join(error.args[1]))
