"""Exchange of suspect requests with other nodes over gossip."""

from celeryfield.internal.clock import Clock
from celeryfield.internal.dispatch.suspects import SuspectEntry, SuspectTable
from celeryfield.internal.membership.service import Membership
from celeryfield.internal.schema import gossip
from celeryfield.internal.schema import settings as settings_schema


class SuspectExchange:
    """Publishes suspects of this node and merges those of other nodes.

    Args:
        settings: Settings of this node.
        clock: Time source.
        suspects: Requests that were running when an upstream crashed.
        membership: Sends and receives suspects by gossip.
    """

    def __init__(
        self,
        settings: settings_schema.NodeSettings,
        clock: Clock,
        suspects: SuspectTable,
        membership: Membership,
    ) -> None:
        self._ttl_ms = settings.dispatch.suspect_ttl_ms
        self._clock = clock
        self._suspects = suspects
        self._membership = membership
        membership.subscribe_suspects(self._merge_received)

    def publish(self) -> None:
        """Publishes the suspects of this node.

        Suspects with a single crash are included, since the second crash may
        happen at another node.
        """
        for entry in self._suspects.entries(self._clock.now_ms(), 1):
            left_ms = int(max(self._ttl_ms - entry.age_ms, 0))
            self._membership.publish_suspect(
                gossip.SuspectEntry(entry.fingerprint, left_ms, entry.crashes)
            )

    def _merge_received(self, entry: gossip.SuspectEntry) -> None:
        age_ms = max(self._ttl_ms - entry.left_ms, 0)
        received = SuspectEntry(entry.fingerprint, entry.count, age_ms)
        self._suspects.merge([received], self._clock.now_ms())
