"""Replaces a folder by another one, so that no process sees half of it.

Usage: replace_folder.py NEW TARGET. Both are on one file system.
"""

import ctypes
import os
import shutil
import sys

# Flags of renameat2(2).
_CURRENT_FOLDER = -100
_EXCHANGE = 2


def _exchange(first: str, second: str) -> bool:
    """Exchanges two folders in one step; returns whether that succeeded."""
    try:
        rename = ctypes.CDLL(None).renameat2
    except AttributeError:
        return False
    paths = os.fsencode(first), os.fsencode(second)
    result = rename(
        _CURRENT_FOLDER, paths[0], _CURRENT_FOLDER, paths[1], _EXCHANGE
    )
    return result == 0


def main() -> None:
    """Replaces the folder and removes what was there."""
    new, target = sys.argv[1:]
    if os.path.exists(target):
        if not _exchange(new, target):
            # Not every file system can exchange; the target is missing only
            # between these two steps.
            os.rename(target, f"{new}.old")
            os.rename(new, target)
            os.rename(f"{new}.old", new)
        shutil.rmtree(new)
    else:
        os.rename(new, target)


if __name__ == "__main__":
    main()
