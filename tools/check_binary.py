"""Checks that the built executable runs and starts no child process."""

import os
import pathlib
import subprocess
import sys
import tempfile
import time

START_TIMEOUT_S = 60


def child_pids(pid):
    """Returns the ids of the direct child processes of a process."""
    children = pathlib.Path(f"/proc/{pid}/task/{pid}/children")
    return children.read_text().split()


def check_version(binary):
    """Runs the command ``version`` and checks its output."""
    result = subprocess.run(
        [binary, "version"], capture_output=True, text=True, check=True
    )
    if not result.stdout.startswith("celeryfield "):
        sys.exit(f"unexpected version output: {result.stdout!r}")


def check_no_child(binary):
    """Starts a node and checks that it stays a single process."""
    with tempfile.TemporaryDirectory() as directory:
        settings = pathlib.Path(directory) / "node.ini"
        settings.write_text(
            "[node]\nid = check\nzone = z1\nregion = r1\n"
            "[listen]\ncaller_port = 0\npeer_port = 0\nadmin_port = 0\n"
        )
        process = subprocess.Popen(
            [binary, "node", "--settings", str(settings)],
            stdout=subprocess.PIPE,
            text=True,
        )
        try:
            wait_for_line(process, "node started")
            children = child_pids(process.pid)
            if children:
                sys.exit(f"the node has child processes: {children}")
        finally:
            process.terminate()
            process.wait(timeout=START_TIMEOUT_S)
        if process.returncode != 0:
            sys.exit(f"the node ended with status {process.returncode}")


def wait_for_line(process, text):
    """Reads the log until a line contains the text; exits if none does."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        line = process.stdout.readline()
        if text in line:
            return
        if not line:
            break
    sys.exit(f"the node did not log {text!r}")


def main():
    """Runs all checks on the executable named on the command line."""
    binary = os.path.abspath(sys.argv[1])
    check_version(binary)
    check_no_child(binary)
    print("binary ok: version runs, node has no child process")


if __name__ == "__main__":
    main()
