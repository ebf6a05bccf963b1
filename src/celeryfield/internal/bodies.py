"""Bounded reading of HTTP bodies."""

import aiohttp


async def read_bounded(
    content: aiohttp.StreamReader, limit: int
) -> bytes | None:
    """Returns the whole body, or None once it exceeds the limit.

    Args:
        content: Body of a request or a response.
        limit: Largest size that is accepted, in bytes.

    Raises:
        aiohttp.ClientPayloadError: The body was truncated.
    """
    parts: list[bytes] = []
    size = 0
    async for part in content.iter_any():
        size += len(part)
        if size > limit:
            return None
        parts.append(part)
    return b"".join(parts)
