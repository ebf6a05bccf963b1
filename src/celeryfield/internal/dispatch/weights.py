"""Weights of workspaces in fair queueing."""

from collections.abc import Callable

WeightFunction = Callable[[str], float]

# Lower bound of workspace weights; keeps shares finite.
MIN_WEIGHT = 0.001


def equal_weight(_workspace: str) -> float:
    """Returns the same weight for every workspace."""
    return 1.0


def bounded_weight(weight_of: WeightFunction, workspace: str) -> float:
    """Returns the weight of a workspace, at least ``MIN_WEIGHT``."""
    return max(weight_of(workspace), MIN_WEIGHT)
