"""Candidates among which the balancer chooses.

Two random candidates of the local zone are compared with two of other zones. If
all candidates were compared, all nodes would choose the same one.
"""

import random

from celeryfield.internal.routing.candidates import (
    DRAINING,
    READY,
    CandidateState,
    ServiceState,
)

# A reported state overrides the state from gossip for this long; by then gossip
# has caught up.
STATE_TTL_MS = 5000.0
# Candidates of the local zone, and of all other zones, that are compared.
SAMPLES_PER_GROUP = 2
# With fewer candidates in a group, looking at all of them takes no longer.
MIN_SAMPLED_CANDIDATES = 8
# Draws for a group. They find two candidates in most cases even if only half of
# the group can be used.
MAX_DRAWS = 6


def sample(
    entry: ServiceState,
    excluded_ids: frozenset[str],
    now_ms: float,
    rng: random.Random,
) -> list[CandidateState]:
    """Returns the candidates to compare for one call.

    Args:
        entry: Candidates of the service.
        excluded_ids: Nodes that must not be chosen.
        now_ms: Monotonic time, in ms.
        rng: Source of random numbers.
    """
    return _draw(entry, excluded_ids, now_ms, rng) or _sample_preferred(
        entry, excluded_ids, now_ms, rng
    )


def preferred(
    entry: ServiceState, excluded_ids: frozenset[str], now_ms: float
) -> list[CandidateState]:
    """Returns the best non-empty group of candidates.

    Ready candidates that are not ejected are preferred, then ejected ones.
    Candidates in other states are used only if none is ready.
    """
    oldest_ms = now_ms - STATE_TTL_MS
    states = entry.states_by_id.values()
    ready = [state for state in states if _is_ready(state, oldest_ms)]
    if not ready:
        ready = [
            state for state in states if state.candidate.state != DRAINING
        ] or list(states)
    if excluded_ids:
        ready = [
            state
            for state in ready
            if state.candidate.node_id not in excluded_ids
        ]
    usable = [state for state in ready if state.health.is_usable(now_ms)]
    return usable or ready


def _draw(
    entry: ServiceState,
    excluded_ids: frozenset[str],
    now_ms: float,
    rng: random.Random,
) -> list[CandidateState]:
    """Returns two preferred candidates of the local zone and two of others.

    Returns an empty list if a few draws do not find them. Which group is
    preferred then has to be decided by looking at all candidates.
    """
    sampled: list[CandidateState] = []
    oldest_ms = now_ms - STATE_TTL_MS
    for states in (entry.local, entry.remote):
        if len(states) < MIN_SAMPLED_CANDIDATES:
            return []
        wanted = len(sampled) + SAMPLES_PER_GROUP
        for _ in range(MAX_DRAWS):
            state = states[int(rng.random() * len(states))]
            if state in sampled or not _is_usable(
                state, excluded_ids, oldest_ms, now_ms
            ):
                continue
            sampled.append(state)
            if len(sampled) == wanted:
                break
        else:
            return []
    return sampled


def _sample_preferred(
    entry: ServiceState,
    excluded_ids: frozenset[str],
    now_ms: float,
    rng: random.Random,
) -> list[CandidateState]:
    zone = entry.zone
    states = preferred(entry, excluded_ids, now_ms)
    local = [state for state in states if state.candidate.zone == zone]
    remote = [state for state in states if state.candidate.zone != zone]
    return _sample_two(local, rng) + _sample_two(remote, rng)


def _sample_two(
    states: list[CandidateState], rng: random.Random
) -> list[CandidateState]:
    count = len(states)
    if count < SAMPLES_PER_GROUP:
        return states
    index = int(rng.random() * count)
    other = int(rng.random() * (count - 1))
    if other >= index:
        other += 1
    return [states[index], states[other]]


def _is_ready(state: CandidateState, oldest_ms: float) -> bool:
    """Returns whether a candidate is ready.

    Args:
        state: The candidate.
        oldest_ms: Reports from before this time, in ms, do not count.
    """
    name = state.candidate.state
    if state.reported_state and state.reported_ms >= oldest_ms:
        name = state.reported_state
    return name == READY


def _is_usable(
    state: CandidateState,
    excluded_ids: frozenset[str],
    oldest_ms: float,
    now_ms: float,
) -> bool:
    """Returns whether a candidate is in the group that is preferred."""
    return (
        state.candidate.node_id not in excluded_ids
        and _is_ready(state, oldest_ms)
        and state.health.is_usable(now_ms)
    )
