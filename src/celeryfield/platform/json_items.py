"""JSON texts in which single items cannot be read.

A JSON parser refuses a text as a whole, for example for a lone surrogate,
invalid UTF-8, deep nesting or a number of thousands of digits. In a page of the
store such an item of one writer must not hide the items of all others.
"""

import re

import pydantic_core

# Strings are matched as a whole, since they may contain brackets.
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[][{},]', re.DOTALL)
_OPENING = frozenset(b"[{")
_CLOSING = frozenset(b"]}")
# Depth within an array that is a field of the outermost object.
_ITEM_DEPTH = 2


def without_unreadable_items(text: bytes) -> tuple[bytes, int]:
    """Replaces items that cannot be parsed.

    Items are the elements of arrays that are fields of the outermost object.
    An item is replaced by one that has its name alone, since the name may be
    needed to ask for the next page, or by null if it has none.

    Args:
        text: JSON text of an object.

    Returns:
        The text with replaced items, and how many were replaced.
    """
    parts: list[bytes] = []
    copied = replaced = 0
    for start, end in _item_spans(text):
        if _is_readable(text[start:end]):
            continue
        parts += (text[copied:start], _placeholder(text[start:end]))
        copied = end
        replaced += 1
    parts.append(text[copied:])
    return b"".join(parts), replaced


def _item_spans(text: bytes) -> list[tuple[int, int]]:
    """Returns where the items begin and end."""
    spans: list[tuple[int, int]] = []
    closing: list[int] = []
    start = 0
    for token in _TOKEN.finditer(text):
        symbol = token.group()[0]
        is_in_array = len(closing) == _ITEM_DEPTH and closing[-1] == ord("]")
        if symbol in _OPENING:
            closing.append(ord("]") if symbol == ord("[") else ord("}"))
            if len(closing) == _ITEM_DEPTH:
                start = token.end()
        elif symbol in _CLOSING and closing:
            if is_in_array and text[start : token.start()].strip():
                spans.append((start, token.start()))
            closing.pop()
        elif symbol == ord(",") and is_in_array:
            spans.append((start, token.start()))
            start = token.end()
    return spans


def _placeholder(item: bytes) -> bytes:
    """Returns what replaces an item."""
    try:
        metadata = pydantic_core.from_json(_metadata_text(item))
    except ValueError:
        return b"null"
    name = metadata.get("name") if isinstance(metadata, dict) else None
    if not isinstance(name, str):
        return b"null"
    # Events of a watch have a field "object".
    return pydantic_core.to_json({"metadata": {"name": name}, "object": None})


def _metadata_text(item: bytes) -> bytes:
    """Returns the field "metadata" of an item, or b"" if it has none."""
    depth = 0
    start = None
    key = b""
    for token in _TOKEN.finditer(item):
        text = token.group()
        if text[0] in _OPENING:
            if depth == 1 and key == b'"metadata"':
                start = token.start()
            depth += 1
        elif text[0] in _CLOSING:
            depth -= 1
            if depth == 1 and start is not None:
                return item[start : token.end()]
        if depth == 1:
            key = text
    return b""


def _is_readable(item: bytes) -> bool:
    try:
        pydantic_core.from_json(item)
    except ValueError:
        return False
    return True
