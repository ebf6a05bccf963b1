"""Load balancing: selection of the candidate for an attempt."""

import dataclasses
import random
from collections.abc import Sequence

from expression import Error, Ok, Result

from celeryfield.errors import CeleryfieldError
from celeryfield.internal.calls import Candidate, Outcome, Reason
from celeryfield.internal.clock import Clock
from celeryfield.internal.routing import sampling
from celeryfield.internal.routing.candidates import (
    READY,
    CandidateState,
    ServiceState,
)
from celeryfield.internal.routing.outliers import (
    AttemptEnd,
    Health,
    OutlierDetector,
)
from celeryfield.internal.schema.settings import NodeSettings

# The weight of a load report falls linearly to zero at this age. Otherwise
# senders with the same stale report would all prefer the same candidate.
REPORT_TTL_MS = 1000.0
# Assumed service time until a candidate reports one.
UNKNOWN_SERVICE_MS = 50.0
# Assumed cost of a failed attempt for its chain.
FAILURE_COST_MS = 500.0
# Relative increase of the service time from an idle upstream to one at its
# limit.
BUSY_SLOWDOWN = 0.3
# Initial limit of a cold candidate, as a share of its full limit.
INITIAL_SHARE = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class LoadEstimate:
    """Estimated load of a candidate.

    Attributes:
        load: Load relative to its limit, including one more call.
        age_ms: Age of the newest report; -1 if there is none.
        candidates: Number of candidates of the service.
    """

    load: float
    age_ms: float
    candidates: int


class RoutingError(CeleryfieldError):
    """No candidate is available for a call."""


class Balancer:
    """Chooses candidates by load, zone and health.

    A choice looks at a few random candidates. It is linear in the number of
    candidates of the service only if most of them cannot be used.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        rng: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._is_baseline = settings.routing.policy == "baseline"
        self._random = rng or random.Random()
        self._services_by_name: dict[str, ServiceState] = {}

    def set_candidates(
        self, service: str, candidates: Sequence[Candidate]
    ) -> None:
        """Replaces the candidates of a service.

        The state of a candidate is kept if its node id and incarnation are
        unchanged. Candidates that are added to a service later are cold and go
        through a slow start.

        A sender that has just started itself may have read records that other
        nodes, restarted at the same time, are about to replace. All of them
        are equally cold, so the first restarts that it learns do not count.
        """
        if not candidates:
            self._services_by_name.pop(service, None)
            return
        entry = self._services_by_name.get(service)
        is_first = entry is None
        if entry is None:
            outliers = OutlierDetector(self._settings.routing, self._clock)
            entry = ServiceState(
                outliers, self._settings.node.zone, self._clock.now_ms()
            )
            self._services_by_name[service] = entry
        cold_since_ms = None if is_first else self._clock.now_ms()
        states_by_id = {
            candidate.node_id: self._updated_state(
                entry, candidate, cold_since_ms
            )
            for candidate in candidates
        }
        entry.set_states(states_by_id)
        healths = [state.health for state in entry.states_by_id.values()]
        entry.outliers.set_healths(healths)

    def _updated_state(
        self,
        entry: ServiceState,
        candidate: Candidate,
        cold_since_ms: float | None,
    ) -> CandidateState:
        state = entry.states_by_id.get(candidate.node_id)
        is_known = (
            state is not None
            and state.candidate.incarnation == candidate.incarnation
        )
        if state is not None and self._is_young(entry):
            cold_since_ms = None
        if not is_known:
            return CandidateState(
                candidate,
                Health(candidate.node_id),
                limit=max(candidate.slots, 1),
                cold_since_ms=cold_since_ms,
            )
        if state.candidate.state != candidate.state:
            # The record changed, so it is newer than the reported state.
            state.reported_state = ""
            if candidate.state == READY:
                state.cold_since_ms = self._clock.now_ms()
        state.candidate = candidate
        return state

    def _is_young(self, entry: ServiceState) -> bool:
        """Returns whether the sender learned of a service only recently."""
        age_ms = self._clock.now_ms() - entry.known_since_ms
        return age_ms < self._settings.dispatch.slow_start_ms

    def pick(
        self, service: str, excluded_ids: frozenset[str]
    ) -> Result[Candidate, RoutingError]:
        """Chooses a candidate.

        Args:
            service: Service of the call.
            excluded_ids: Nodes that must not be chosen.

        Returns:
            The candidate, or an error if none is left.
        """
        candidate = self.choose(service, excluded_ids)
        if candidate is None:
            return Error(
                RoutingError(
                    f"service {service!r} has no candidate left after "
                    f"excluding {len(excluded_ids)}; check that its upstreams "
                    "announce themselves"
                )
            )
        return Ok(candidate)

    def choose(
        self, service: str, excluded_ids: frozenset[str], class_name: str = ""
    ) -> Candidate | None:
        """Chooses a candidate like ``pick``, without the cost of a ``Result``.

        Args:
            service: Service of the call.
            excluded_ids: Nodes that must not be chosen.
            class_name: Class of the call; service times are kept per class.

        Returns:
            The candidate, or None if none is left.
        """
        entry = self._services_by_name.get(service)
        if entry is None:
            return None
        now_ms = self._clock.now_ms()
        if self._is_baseline:
            states = sampling.preferred(entry, excluded_ids, now_ms)
            entry.next_index += 1
            if not states:
                return None
            return states[entry.next_index % len(states)].candidate
        sampled = sampling.sample(entry, excluded_ids, now_ms, self._random)
        return self._fastest(entry, sampled, class_name, now_ms)

    def _fastest(
        self,
        entry: ServiceState,
        sampled: list[CandidateState],
        class_name: str,
        now_ms: float,
    ) -> Candidate | None:
        """Returns the candidate with the lowest expected time to an answer."""
        if not sampled:
            return None
        if len(sampled) == 1:
            return sampled[0].candidate
        fastest = min(
            sampled,
            key=lambda state: self._expected_ms(
                entry, state, class_name, now_ms
            ),
        )
        return fastest.candidate

    def _expected_ms(
        self,
        entry: ServiceState,
        state: CandidateState,
        class_name: str,
        now_ms: float,
    ) -> float:
        """Returns the expected time to an answer, with all penalties, in ms."""
        service_ms = state.fresh_service_ms(class_name, now_ms)
        if service_ms is None:
            service_ms = entry.mean_service_ms_by_class.get(
                class_name, UNKNOWN_SERVICE_MS
            )
        service_ms *= state.fresh_slowdown(now_ms)
        expected_ms = service_ms * self._load_factor(entry, state, now_ms)
        expected_ms += FAILURE_COST_MS * state.fresh_failure_share(now_ms)
        if state.candidate.zone != self._settings.node.zone:
            expected_ms += self._zone_penalty_ms(entry, class_name)
        return expected_ms

    def _zone_penalty_ms(self, entry: ServiceState, class_name: str) -> float:
        """Returns the time that a call to another zone must save, in ms."""
        routing = self._settings.routing
        mean_kb = entry.mean_bytes_by_class.get(class_name, 0.0) / 1024.0
        return routing.zone_penalty_ms + routing.zone_penalty_kb_ms * mean_kb

    def _load_factor(
        self, entry: ServiceState, state: CandidateState, now_ms: float
    ) -> float:
        """Returns the factor by which load increases the service time.

        A queued call also delays the calls behind it, so load above the limit
        counts quadratically.
        """
        load = self._relative_load(entry, state, now_ms)
        return max(load, 1.0) ** 2 + BUSY_SLOWDOWN * load

    def _in_flight(
        self, entry: ServiceState, state: CandidateState, now_ms: float
    ) -> float:
        """Returns the estimated number of calls in flight at a candidate.

        That is the number of own calls plus the reported calls of others. As a
        report ages, the mean load of the service replaces it.
        """
        report_weight = max(
            1.0 - (now_ms - state.reported_ms) / REPORT_TTL_MS, 0.0
        )
        mean = entry.mean_load * state.limit
        return (
            state.own_in_flight
            + report_weight * state.reported_in_flight
            + (1 - report_weight) * mean
        )

    def _relative_load(
        self, entry: ServiceState, state: CandidateState, now_ms: float
    ) -> float:
        """Returns the load relative to the limit; lower is better.

        The new call is included, so that idle candidates are compared by their
        limits.
        """
        limit = state.limit * self._slow_start_share(state, now_ms)
        in_flight = self._in_flight(entry, state, now_ms)
        return state.penalty * (in_flight + 1) / limit

    def _slow_start_share(self, state: CandidateState, now_ms: float) -> float:
        if state.cold_since_ms is None:
            return 1.0
        age_ms = now_ms - state.cold_since_ms
        slow_start_ms = self._settings.dispatch.slow_start_ms
        if age_ms >= slow_start_ms:
            state.cold_since_ms = None
            return 1.0
        return INITIAL_SHARE + (1 - INITIAL_SHARE) * age_ms / slow_start_ms

    def _find(
        self, candidate: Candidate
    ) -> tuple[ServiceState, CandidateState] | None:
        entry = self._services_by_name.get(candidate.service)
        if entry is None:
            return None
        state = entry.states_by_id.get(candidate.node_id)
        if state is None:
            return None
        if state.candidate.incarnation != candidate.incarnation:
            return None
        return entry, state

    def is_usable(self, candidate: Candidate) -> bool:
        """Returns whether a call may be sent to a candidate at present."""
        found = self._find(candidate)
        if found is None:
            return False
        return found[1].health.is_usable(self._clock.now_ms())

    def load_estimate(self, candidate: Candidate) -> LoadEstimate:
        """Returns the estimated load of a candidate, for the log."""
        found = self._find(candidate)
        if found is None:
            return LoadEstimate(0.0, -1.0, 0)
        entry, state = found
        now_ms = self._clock.now_ms()
        age_ms = now_ms - state.reported_ms if state.reported_ms else -1.0
        load = self._relative_load(entry, state, now_ms)
        return LoadEstimate(load, age_ms, len(entry.states_by_id))

    def record_start(self, candidate: Candidate) -> None:
        """Records the start of an attempt."""
        found = self._find(candidate)
        if found is None:
            return
        entry, state = found
        state.own_in_flight += 1
        entry.outliers.record_start(state.health)

    def adjust_overdue(self, candidate: Candidate, change: int) -> int:
        """Changes the number of overdue attempts; returns the new number."""
        found = self._find(candidate)
        if found is None:
            return 0
        _, state = found
        state.overdue = max(state.overdue + change, 0)
        return state.overdue

    def record_end(self, candidate: Candidate, end: AttemptEnd) -> None:
        """Records the end of an attempt and updates all estimates."""
        found = self._find(candidate)
        if found is None:
            return
        entry, state = found
        state.own_in_flight = max(state.own_in_flight - 1, 0)
        now_ms = self._clock.now_ms()
        if end.load is not None:
            entry.record_report(state, end, now_ms)
        elif end.reason is Reason.DRAINING and end.outcome is Outcome.NOT_RUN:
            state.record_draining(now_ms)
        state.update_failure_share(end, now_ms)
        if end.outcome is Outcome.OK:
            entry.record_body_size(end.class_name, end.body_bytes)
        if not self._is_baseline:
            entry.outliers.record_end(state.health, end)
