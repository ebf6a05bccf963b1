"""Generations of the store: how often it was restored from an older copy.

A restored store has lost its newest writes and gives their revisions out again.
It sends the number of its generation with each response, so that its clients
can tell to which history a revision belongs.
"""

from collections.abc import Callable

from celeryfield.internal import events


class GenerationTracker:
    """Follows the generation that the responses of a store name.

    Attributes:
        current: Newest known generation; None if no response named one.
        changes: Number of changes so far. It tells requests that were sent
            before a change from later ones.
    """

    def __init__(self) -> None:
        self.current: int | None = None
        self.changes = 0
        self._highest = 0
        self._is_unnamed = False
        self._callbacks: list[Callable[[int], None]] = []

    def subscribe(self, callback: Callable[[int], None]) -> None:
        """Calls a function with each new generation after the first one."""
        self._callbacks.append(callback)

    def observe(self, generation: int | None, changes_when_sent: int) -> bool:
        """Handles the generation that a response names.

        Args:
            generation: The generation; None if the response names none.
            changes_when_sent: Value of ``changes`` when its request was sent.

        Returns:
            False if the response is a late one of an earlier generation: what
            it says no longer holds.
        """
        if generation is None:
            self._handle_unnamed()
            return True
        was_unnamed, self._is_unnamed = self._is_unnamed, False
        if generation == self.current:
            return True
        if self.current is None:
            self.current = self._highest = generation
            # Writes that the store acknowledged without naming a generation may
            # belong to an earlier one.
            if was_unnamed:
                self._change(0, generation)
            return True
        is_late = changes_when_sent != self.changes
        if is_late and generation <= self._highest:
            return False
        self._change(self.current, generation)
        return True

    def _handle_unnamed(self) -> None:
        if self.current is not None and not self._is_unnamed:
            events.emit(events.StoreGenerationMissing, generation=self.current)
        self._is_unnamed = True

    def _change(self, previous: int, generation: int) -> None:
        self.current = generation
        self.changes += 1
        if generation > previous:
            events.emit(
                events.StoreRestored, previous=previous, current=generation
            )
        else:
            events.emit(
                events.StoreGenerationFell,
                previous=previous,
                current=generation,
            )
        self._highest = max(self._highest, generation)
        for callback in self._callbacks:
            callback(generation)
