"""Runs overload scenarios and writes ``build/bench.json``."""

import argparse
import asyncio
import json
import os
import pathlib
import platform
import statistics

from bench.plotting import plot
from bench.scenarios import SCENARIOS, Outcome, Scenario, meets_target
from bench.workloads import SCALE_DIVISOR

POLICY_BY_VARIANT = {"product": "adaptive", "baseline": "baseline"}
BUILD_DIR = pathlib.Path("build")


async def run_scenario(
    scenario: Scenario, seeds: list[int], policy_by_variant: dict[str, str]
) -> dict:
    """Runs one scenario with all seeds and returns its report entry.

    Each seed is run with every variant before the next seed.
    """
    outcomes: dict[str, list[Outcome]] = {
        variant: [] for variant in policy_by_variant
    }
    for seed in seeds:
        for variant, policy in policy_by_variant.items():
            outcome = await scenario.measure(policy, seed)
            outcomes[variant].append(outcome)
            figures = {k: round(v, 4) for k, v in outcome.metrics.items()}
            valid = all(
                measurement.is_valid for measurement in outcome.measurements
            )
            note = (
                "" if valid else "  (CPU-bound or late arrivals; not counted)"
            )
            print(f"{scenario.name} {variant} seed {seed}: {figures}{note}")
            _write_details(scenario.name, variant, seed, outcome)
    return _summary(scenario, outcomes)


def _write_details(
    name: str, variant: str, seed: int, outcome: Outcome
) -> None:
    """Writes the details of one run, for the analysis of its figures."""
    directory = BUILD_DIR / "bench"
    directory.mkdir(parents=True, exist_ok=True)
    content = [measurement.details() for measurement in outcome.measurements]
    path = directory / f"{name}-{variant}-{seed}.json"
    path.write_text(json.dumps(content))


def _summary(scenario: Scenario, outcomes: dict[str, list[Outcome]]) -> dict:
    result: dict = {"target": scenario.target}
    for variant, runs in outcomes.items():
        valid_runs = [
            run for run in runs if all(r.is_valid for r in run.measurements)
        ]
        result[variant] = _combine(valid_runs, statistics.median)
        result[f"{variant}_min"] = _combine(valid_runs, min)
        result[f"{variant}_max"] = _combine(valid_runs, max)
        result[f"{variant}_runs"] = len(valid_runs)
        result[f"{variant}_busiest_core_share"] = max(
            share
            for run in runs
            for measurement in run.measurements
            for share in measurement.cpu_share_by_process.values()
        )
    product = result["product"]
    result["met"] = bool(product) and meets_target(scenario.target, product)
    return result


def _combine(runs: list[Outcome], combine) -> dict[str, float]:
    if not runs:
        return {}
    return {
        name: round(combine([run.metrics[name] for run in runs]), 4)
        for name in runs[0].metrics
    }


def _machine_info() -> dict[str, object]:
    return {
        "cores": os.cpu_count(),
        "machine": platform.machine(),
        "python": platform.python_version(),
        "load_average": os.getloadavg(),
    }


def scenario_entries(report: dict) -> list[tuple[str, dict]]:
    """Returns the entries of a report in the order of the scenarios."""
    names = [scenario.name for scenario in SCENARIOS]
    return [(name, report[name]) for name in names if name in report]


def print_table(report: dict) -> None:
    """Prints the figures that have a target."""
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
            median = entry["product"].get(metric, float("nan"))
            baseline = entry.get("baseline", {}).get(metric, float("nan"))
            print(
                row.format(
                    name,
                    metric,
                    f"{median:.3f}",
                    f"{low:.3f}-{high:.3f}",
                    f"{baseline:.3f}",
                    f"{bound:g}",
                    "ok"
                    if meets_target({metric: bound}, {metric: median})
                    else "no",
                )
            )


def main() -> None:
    """Runs the named scenarios, or all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    names = [scenario.name for scenario in SCENARIOS]
    parser.add_argument(
        "scenarios", nargs="*", metavar="scenario", help=", ".join(names)
    )
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--product-only", action="store_true")
    parser.add_argument("--output", default=str(BUILD_DIR / "bench.json"))
    parser.add_argument("--plot", action="store_true")
    arguments = parser.parse_args()
    unknown = set(arguments.scenarios) - set(names)
    if unknown:
        parser.error(f"unknown scenario {sorted(unknown)}; known are {names}")
    seeds = [arguments.seed + index for index in range(arguments.runs)]
    policy_by_variant = dict(POLICY_BY_VARIANT)
    if arguments.product_only:
        del policy_by_variant["baseline"]
    report = {
        "seeds": seeds,
        "runs": arguments.runs,
        "scale": SCALE_DIVISOR,
        "machine": _machine_info(),
    }
    for scenario in SCENARIOS:
        if arguments.scenarios and scenario.name not in arguments.scenarios:
            continue
        entry = asyncio.run(run_scenario(scenario, seeds, policy_by_variant))
        report[scenario.name] = entry
        path = pathlib.Path(arguments.output)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(report, indent=2) + "\n")
    print_table(report)
    if arguments.plot:
        print(plot(scenario_entries(report), BUILD_DIR / "bench.png"))


if __name__ == "__main__":
    main()
