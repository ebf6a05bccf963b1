"""Bounded reading of HTTP bodies."""

import enum

import aiohttp
from expression import Error, Ok, Result


class BodyError(enum.StrEnum):
    """Why a body is not read."""

    TOO_LARGE = "too-large"
    NO_MEMORY = "no-memory"


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
    read = await BodyBudget(limit).read(content, limit)
    return read.default_value(None)


class BodyBudget:
    """Bounds the bodies that are held at the same time.

    Args:
        limit_bytes: Largest size of all bodies together, in bytes.

    Attributes:
        held_bytes: Size of the bodies read so far and not released, in bytes.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.held_bytes = 0
        self._limit_bytes = limit_bytes

    async def read(
        self,
        content: aiohttp.StreamReader,
        max_bytes: int,
        announced_bytes: int = 0,
    ) -> Result[bytes, BodyError]:
        """Reads a whole body, which the caller must release.

        A body that is announced as too large is refused before it is read.

        Args:
            content: The body.
            max_bytes: Largest size of this body, in bytes.
            announced_bytes: Its size according to its sender; 0 if unknown.

        Returns:
            The body, or why it is not read to its end; then nothing is held.

        Raises:
            aiohttp.ClientPayloadError: The body was truncated.
        """
        problem = self._problem(announced_bytes, announced_bytes, max_bytes)
        if problem is not None:
            return Error(problem)
        parts: list[bytes] = []
        size = 0
        is_whole = False
        try:
            async for part in content.iter_any():
                size += len(part)
                self.held_bytes += len(part)
                problem = self._problem(size, 0, max_bytes)
                if problem is not None:
                    return Error(problem)
                parts.append(part)
            is_whole = True
            return Ok(b"".join(parts))
        finally:
            if not is_whole:
                self.held_bytes -= size

    def take(self, size: int) -> bool:
        """Holds further bytes of a body; returns whether there is room.

        Args:
            size: Number of bytes, which the caller must release.
        """
        if self.held_bytes + size > self._limit_bytes:
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Ends the holding of bytes that were read or taken."""
        self.held_bytes -= size

    def _problem(
        self, size: int, further_bytes: int, max_bytes: int
    ) -> BodyError | None:
        if size > max_bytes:
            return BodyError.TOO_LARGE
        if self.held_bytes + further_bytes > self._limit_bytes:
            return BodyError.NO_MEMORY
        return None
