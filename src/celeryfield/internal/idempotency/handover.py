"""Conversion of a closed ledger to a snapshot and back.

At any time, at most one ledger serves the keys of an incarnation:

* An exporter closes its ledger before it builds the snapshot, and exports only
  once.
* The snapshot names one incarnation of one successor, and every other ledger
  rejects it. A restarted successor is another incarnation.
* A successor remembers the issuers that it adopted for as long as it runs, so
  a second delivery changes nothing.

The exporter may therefore send its snapshot to the successor any number of
times. It cannot choose a second successor: if the snapshot cannot be delivered,
requests with its keys are answered ``unknown``.
"""

import dataclasses
from collections.abc import Iterable

from expression import Error, Ok, Result

from celeryfield.internal.calls import CallResult, Outcome, Reason
from celeryfield.internal.idempotency.entries import Entry
from celeryfield.internal.idempotency.keys import (
    SECRET_BYTES,
    KeyOwner,
    LedgerError,
    parse_key,
)
from celeryfield.internal.schema import ledger as schema
from celeryfield.internal.schema import wire


class HandoverError(LedgerError):
    """The ledger cannot be exported, or a snapshot was rejected."""


class AlreadyAdoptedError(HandoverError):
    """The snapshot was adopted before, so the exporter's delivery succeeded."""


@dataclasses.dataclass(slots=True)
class Issuer:
    """An incarnation whose keys a ledger serves.

    Attributes:
        owner: The incarnation.
        secret: Key of its MACs.
        key_ttl_ms: Lifetime of its keys.
        clock_offset_ms: Time of the issuer minus time of the serving ledger.
        last_issue_ms: Time of the issuer after which it issued no key; None if
            it still issues keys.
    """

    owner: KeyOwner
    secret: bytes
    key_ttl_ms: int
    clock_offset_ms: int = 0
    last_issue_ms: int | None = None

    def may_have_usable_keys(self, now_ms: int) -> bool:
        """Returns whether a key of this issuer may be unexpired."""
        if self.last_issue_ms is None:
            return True
        return (
            now_ms + self.clock_offset_ms < self.last_issue_ms + self.key_ttl_ms
        )


@dataclasses.dataclass(slots=True)
class FinishedRun:
    """A finished run in a snapshot.

    Attributes:
        fingerprint: Hash of the request.
        result: Result of the run.
    """

    fingerprint: bytes
    result: CallResult


@dataclasses.dataclass(slots=True)
class SnapshotContent:
    """The decoded content of a snapshot.

    Attributes:
        issuers: Incarnations whose keys are handed over.
        runs_by_key: Their finished runs, oldest first.
    """

    issuers: list[Issuer]
    runs_by_key: dict[str, FinishedRun]


def encode_snapshot(
    successor: KeyOwner,
    issuers: Iterable[Issuer],
    entries_by_key: dict[str, Entry],
    now_ms: int,
) -> schema.LedgerSnapshot:
    """Returns the message that hands the entries over to ``successor``."""
    states = [
        _encode_issuer(issuer, now_ms)
        for issuer in issuers
        if issuer.may_have_usable_keys(now_ms)
    ]
    return schema.LedgerSnapshot(
        successor_id=successor.node_id,
        successor_incarnation=successor.incarnation,
        issuers=tuple(states),
        entries=tuple(
            [_encode_entry(key, item) for key, item in entries_by_key.items()]
        ),
    )


def decode_snapshot(
    snapshot: schema.LedgerSnapshot, key_ttl_ms: int, now_ms: int
) -> Result[SnapshotContent, HandoverError]:
    """Decodes and checks a snapshot, with times of the adopting ledger.

    Args:
        snapshot: The message.
        key_ttl_ms: Lifetime of the adopting ledger's own keys.
        now_ms: Time of the adopting ledger.
    """
    issuers = [
        _decode_issuer(state, key_ttl_ms, now_ms) for state in snapshot.issuers
    ]
    if any(len(issuer.secret) != SECRET_BYTES for issuer in issuers):
        return Error(HandoverError("malformed secret in snapshot"))
    try:
        runs_by_key = {
            message.key: FinishedRun(
                message.fingerprint, _decode_result(message)
            )
            for message in snapshot.entries
        }
    except ValueError as error:
        return Error(HandoverError(f"malformed entry in snapshot: {error}"))
    owners = {issuer.owner for issuer in issuers}
    for key in runs_by_key:
        parsed = parse_key(key)
        if parsed.is_error() or parsed.ok.owner not in owners:
            message = f"snapshot has an entry of another issuer: {key[:64]!r}"
            return Error(HandoverError(message))
    return Ok(SnapshotContent(issuers, runs_by_key))


def _decode_issuer(
    state: schema.IssuerState, key_ttl_ms: int, now_ms: int
) -> Issuer:
    """Returns an issuer whose time continues from the export.

    If the successor's clock is ahead, the time continues from that clock. Keys
    live for the shorter of both lifetimes, because the exporter has removed the
    runs of all keys that had expired by its own lifetime.
    """
    return Issuer(
        owner=KeyOwner(state.node_id, state.incarnation),
        secret=state.secret,
        key_ttl_ms=min(key_ttl_ms, state.key_ttl_ms),
        clock_offset_ms=max(0, state.time_ms - now_ms),
        last_issue_ms=state.time_ms,
    )


def _encode_issuer(issuer: Issuer, now_ms: int) -> schema.IssuerState:
    time_ms = now_ms + issuer.clock_offset_ms
    return schema.IssuerState(
        node_id=issuer.owner.node_id,
        incarnation=issuer.owner.incarnation,
        secret=issuer.secret,
        time_ms=time_ms,
        key_ttl_ms=issuer.key_ttl_ms,
    )


def _encode_entry(key: str, entry: Entry) -> schema.LedgerEntry:
    result = entry.answer
    headers = [
        schema.AnswerHeader(name=item.name, value=item.value)
        for item in result.headers
    ]
    return schema.LedgerEntry(
        key=key,
        fingerprint=entry.fingerprint,
        outcome=result.outcome.value,
        reason=result.reason.value,
        status=result.status,
        headers=tuple(headers),
        body=result.body,
        failed_deeper=result.failed_deeper,
        started=result.started,
    )


def _decode_result(message: schema.LedgerEntry) -> CallResult:
    headers = [
        wire.Header(name=item.name, value=item.value)
        for item in message.headers
    ]
    return CallResult(
        outcome=Outcome(message.outcome),
        reason=Reason(message.reason),
        status=message.status,
        headers=tuple(headers),
        body=message.body,
        failed_deeper=message.failed_deeper,
        started=message.started,
    )
