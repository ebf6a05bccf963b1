"""Optional plot of a benchmark report."""

import pathlib

VARIANTS = ("product", "baseline")


def plot(entries: list[tuple[str, dict]], path: pathlib.Path) -> str:
    """Plots the medians with their spread.

    Returns:
        A message for the user: where the plot is, or why there is none.
    """
    try:
        from matplotlib import pyplot
    except ImportError:
        return "no plot: matplotlib is missing; install the extra 'plot'"
    bars = [
        (name, metric) for name, entry in entries for metric in entry["target"]
    ]
    figure, axes = pyplot.subplots(len(bars), 1, figsize=(8, len(bars)))
    entries_by_name = dict(entries)
    for axis, (name, metric) in zip(axes, bars, strict=True):
        entry = entries_by_name[name]
        for index, variant in enumerate(VARIANTS):
            if not entry.get(variant):
                continue
            median = entry[variant][metric]
            low = median - entry[f"{variant}_min"][metric]
            high = entry[f"{variant}_max"][metric] - median
            axis.barh(index, median, xerr=[[low], [high]])
        axis.axvline(entry["target"][metric], linestyle="--")
        axis.set_yticks(range(len(VARIANTS)), VARIANTS)
        axis.set_title(f"{name}: {metric}", fontsize=8)
    figure.tight_layout()
    figure.savefig(path)
    return f"plot written to {path}"
