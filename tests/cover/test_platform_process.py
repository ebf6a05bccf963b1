"""Tests of the program that the platform starts."""

import gc
import os
import subprocess
import sys

from celeryfield.platform import process


def run_program(*args, **environment):
    return subprocess.run(
        [sys.executable, *args],
        env=os.environ | environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_program_without_settings_names_the_problem():
    """Guards against a start that fails without an explanation."""
    ended = run_program(
        "-m", "celeryfield.platform", CELERYFIELD_BOOT="/nonexistent/file"
    )
    assert ended.returncode == process.EXIT_INVALID_SETTINGS
    assert "/nonexistent/file" in ended.stderr


def test_collections_are_enabled_once_the_node_has_started(monkeypatch):
    """Guards against memory that grows because the launcher disabled them."""
    monkeypatch.setattr(gc, "freeze", lambda: None)
    thresholds = gc.get_threshold()
    gc.disable()
    try:
        process.enable_collections()
        assert gc.isenabled()
        assert gc.get_threshold() == process.GC_THRESHOLDS
    finally:
        gc.set_threshold(*thresholds)
        gc.enable()
