"""Path patterns of routes."""

import posixpath
import urllib.parse


def normalize_path(path: str) -> str:
    """Normalizes a path for the comparison with patterns.

    Upstreams decode percent escapes and ignore repeated slashes, dot segments
    and trailing slashes. If raw texts were compared, ``/%6frders`` would run
    with the default class although ``/orders`` is run-once.
    """
    bare = path.partition("?")[0].partition("#")[0]
    decoded = urllib.parse.unquote(bare)
    return posixpath.normpath("/" + decoded.lstrip("/"))


class PathPattern:
    """A path pattern in which ``*`` matches any text, including slashes.

    Attributes:
        is_literal: The pattern has no ``*``.
        literal_length: Number of characters other than ``*``.
    """

    def __init__(self, pattern: str) -> None:
        self.is_literal = "*" not in pattern
        self.literal_length = len(pattern.replace("*", ""))
        self._literal = normalize_path(pattern) if self.is_literal else ""
        self._parts = pattern.split("*")

    def matches(self, path: str) -> bool:
        """Returns whether a normalized path matches."""
        if self.is_literal:
            return path == self._literal
        # "/drawings/*" also matches the request "/drawings/", whose normalized
        # path is "/drawings".
        return self._matches_parts(path) or self._matches_parts(path + "/")

    def _matches_parts(self, path: str) -> bool:
        """Matches the literal parts in order, in linear time."""
        first, *middle, last = self._parts
        if not path.startswith(first):
            return False
        position = len(first)
        for part in middle:
            part_start = path.find(part, position)
            if part_start < 0:
                return False
            position = part_start + len(part)
        return path.endswith(last) and len(path) - len(last) >= position
