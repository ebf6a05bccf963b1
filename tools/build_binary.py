"""Builds the single-file executable dist/celeryfield with pex.

A pex replaces its own process with exec, so a node has no child process.
"""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[1]


def main():
    """Builds the executable and prints its size."""
    target = ROOT / "dist" / "celeryfield"
    target.parent.mkdir(exist_ok=True)
    command = [
        sys.executable,
        "-m",
        "pex",
        str(ROOT),
        "--constraints",
        str(ROOT / "constraints.txt"),
        "--console-script",
        "celeryfield",
        "--output-file",
        str(target),
        "--python-shebang",
        "/usr/bin/env python3.11",
        "--use-pip-config",
    ]
    subprocess.run(command, check=True, cwd=ROOT)
    print(f"built {target} ({target.stat().st_size / 1e6:.1f} MB)")


if __name__ == "__main__":
    main()
