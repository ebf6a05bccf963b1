"""Runs overload scenarios and writes ``build/bench.json``."""

import argparse
import asyncio
import json
import os
import pathlib
import platform
import statistics

from bench.plotting import plot
from bench.scenarios import SCENARIOS, Outcome, Scenario, is_met
from bench.shapes import SCALE

POLICIES = {"product": "adaptive", "baseline": "baseline"}
BUILD = pathlib.Path("build")


async def run_scenario(
    scenario: Scenario, seeds: list[int], sides: dict[str, str]
) -> dict:
    """Runs one scenario with all seeds, both sides within each run."""
    outcomes: dict[str, list[Outcome]] = {side: [] for side in sides}
    for seed in seeds:
        for side, policy in sides.items():
            outcome = await scenario.measure(policy, seed)
            outcomes[side].append(outcome)
            figures = {k: round(v, 4) for k, v in outcome.metrics.items()}
            valid = all(record.is_valid for record in outcome.records)
            note = "" if valid else "  (CPU-bound or late callers, not counted)"
            print(f"{scenario.name} {side} seed {seed}: {figures}{note}")
            _write_details(scenario.name, side, seed, outcome)
    return _summary(scenario, outcomes)


def _write_details(name: str, side: str, seed: int, outcome: Outcome) -> None:
    """Keeps what explains the figures."""
    directory = BUILD / "bench"
    directory.mkdir(parents=True, exist_ok=True)
    content = [record.details() for record in outcome.records]
    path = directory / f"{name}-{side}-{seed}.json"
    path.write_text(json.dumps(content))


def _summary(scenario: Scenario, outcomes: dict[str, list[Outcome]]) -> dict:
    result: dict = {"target": scenario.target}
    for side, runs in outcomes.items():
        counted = [run for run in runs if all(r.is_valid for r in run.records)]
        result[side] = _combine(counted, statistics.median)
        result[f"{side}_min"] = _combine(counted, min)
        result[f"{side}_max"] = _combine(counted, max)
        result[f"{side}_runs"] = len(counted)
        result[f"{side}_busiest_core_share"] = max(
            share
            for run in runs
            for record in run.records
            for share in record.cpu_share_by_process.values()
        )
    product = result["product"]
    result["met"] = bool(product) and is_met(scenario.target, product)
    return result


def _combine(runs: list[Outcome], combine) -> dict[str, float]:
    if not runs:
        return {}
    return {
        name: round(combine([run.metrics[name] for run in runs]), 4)
        for name in runs[0].metrics
    }


def _machine() -> dict[str, object]:
    return {
        "cores": os.cpu_count(),
        "machine": platform.machine(),
        "python": platform.python_version(),
        "load_average": os.getloadavg(),
    }


def scenario_entries(report: dict) -> list[tuple[str, dict]]:
    """Returns the scenarios of a report in their order."""
    names = [scenario.name for scenario in SCENARIOS]
    return [(name, report[name]) for name in names if name in report]


def print_table(report: dict) -> None:
    """Prints the figures that have targets."""
    row = "{:<22}{:<19}{:>9}{:>16}{:>10}{:>8}{:>5}"
    print(
        row.format(
            "scenario", "metric", "product", "spread", "baseline", "target", ""
        )
    )
    for name, entry in scenario_entries(report):
        for metric, bound in entry["target"].items():
            low = entry["product_min"].get(metric, float("nan"))
            high = entry["product_max"].get(metric, float("nan"))
            middle = entry["product"].get(metric, float("nan"))
            baseline = entry.get("baseline", {}).get(metric, float("nan"))
            print(
                row.format(
                    name,
                    metric,
                    f"{middle:.3f}",
                    f"{low:.3f}-{high:.3f}",
                    f"{baseline:.3f}",
                    f"{bound:g}",
                    "ok" if is_met({metric: bound}, {metric: middle}) else "no",
                )
            )


def main() -> None:
    """Runs all or the named scenarios."""
    parser = argparse.ArgumentParser(description=__doc__)
    names = [scenario.name for scenario in SCENARIOS]
    parser.add_argument(
        "scenarios", nargs="*", metavar="scenario", help=", ".join(names)
    )
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--product-only", action="store_true")
    parser.add_argument("--output", default=str(BUILD / "bench.json"))
    parser.add_argument("--plot", action="store_true")
    arguments = parser.parse_args()
    unknown = set(arguments.scenarios) - set(names)
    if unknown:
        parser.error(f"unknown scenario {sorted(unknown)}; known are {names}")
    seeds = [arguments.seed + index for index in range(arguments.runs)]
    sides = dict(POLICIES)
    if arguments.product_only:
        del sides["baseline"]
    report = {
        "seeds": seeds,
        "runs": arguments.runs,
        "scale": SCALE,
        "machine": _machine(),
    }
    for scenario in SCENARIOS:
        if arguments.scenarios and scenario.name not in arguments.scenarios:
            continue
        entry = asyncio.run(run_scenario(scenario, seeds, sides))
        report[scenario.name] = entry
        path = pathlib.Path(arguments.output)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(report, indent=2) + "\n")
    print_table(report)
    if arguments.plot:
        print(plot(scenario_entries(report), BUILD / "bench.png"))


if __name__ == "__main__":
    main()
