"""Ledger entries and the bounded cache of their answers."""

import asyncio
import collections
import dataclasses

from celeryfield.internal.calls import CallResult, Reason
from celeryfield.internal.schema.settings import IdempotencySettings

ANSWER_NOT_KEPT_STATUS = 409


@dataclasses.dataclass(slots=True)
class Entry:
    """The run of a key.

    Attributes:
        fingerprint: Hash of the request that the key is bound to.
        result_future: Resolves to the result; None once the run has ended.
        task: Task of the run; referenced here because the event loop keeps only
            weak references to tasks.
        answer: Answer to requests with the same key after the run has ended.
        kept_bytes: Size of the kept answer; 0 if it is not kept.
    """

    fingerprint: bytes
    result_future: asyncio.Future[CallResult] | None = None
    task: asyncio.Task[CallResult] | None = None
    answer: CallResult | None = None
    kept_bytes: int = 0


class AnswerCache:
    """Bounds the total size of stored answers; evicts the oldest first.

    Requests are usually repeated soon after the first one, so the newest
    answers are the most useful.
    """

    def __init__(self, settings: IdempotencySettings) -> None:
        self._settings = settings
        self._kept_entries: collections.deque[Entry] = collections.deque()
        self._total_bytes = 0

    def store(self, entry: Entry, result: CallResult) -> None:
        """Stores the answer of a finished run in its entry.

        Stores only the outcome if the answer is too large.
        """
        size = answer_size(result)
        limit = min(
            self._settings.answer_bytes, self._settings.total_answer_bytes
        )
        if size > limit:
            entry.answer = make_not_kept_answer(result)
            return
        while self._total_bytes + size > self._settings.total_answer_bytes:
            self._drop_oldest()
        entry.answer = make_repeat_answer(result)
        if size:
            entry.kept_bytes = size
            self._kept_entries.append(entry)
            self._total_bytes += size

    def release(self, entry: Entry) -> None:
        """Frees the answer of an entry that is removed.

        Entries must be removed in the order in which they were stored.
        """
        if entry.kept_bytes:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        entry = self._kept_entries.popleft()
        self._total_bytes -= entry.kept_bytes
        entry.kept_bytes = 0
        entry.answer = make_not_kept_answer(entry.answer)


def answer_size(result: CallResult) -> int:
    """Returns the size of an answer's body and headers, in bytes."""
    header_bytes = sum(
        len(item.name) + len(item.value) for item in result.headers
    )
    return len(result.body) + header_bytes


def make_repeat_answer(result: CallResult) -> CallResult:
    """Returns the answer for requests other than the first one.

    It omits the unused retry allowance, which belongs to the call chain of the
    first request, and the load report, which is out of date.
    """
    return dataclasses.replace(result, unused_allowance=0, load=None)


def make_not_kept_answer(result: CallResult) -> CallResult:
    """Returns the outcome of a run whose answer was not kept."""
    return CallResult(
        outcome=result.outcome,
        reason=Reason.ANSWER_NOT_KEPT,
        status=ANSWER_NOT_KEPT_STATUS,
        failed_deeper=result.failed_deeper,
        started=result.started,
    )
