"""The record of a run: what was sent, answered and run, with times."""

import pathlib
import time


class Record:
    """Writes one line for each observation, with seconds since the start.

    Args:
        path: File to write; an earlier one is replaced.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._start_s = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now_s(self) -> float:
        """Returns the seconds since the start of the record."""
        return time.monotonic() - self._start_s

    def write(self, text: str) -> float:
        """Writes a line and returns its time, in seconds."""
        now_s = self.now_s()
        self._file.write(f"{now_s:8.3f} {text}\n")
        self._file.flush()
        return now_s

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
