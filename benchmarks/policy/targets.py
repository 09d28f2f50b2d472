"""The stated targets and how far the figures are from them."""

from .baselines import FirstComeFirstFit, StrictPriorityBestFit
from .planner import PlannerScheduler

MAX_URGENT_P99_SECONDS = 4.3
MAX_MISSED_RATIO = 0.5
MAX_SHARE_DISTANCE = 0.05
MIN_PACKING = 0.90


def compare(results):
    """Return each target with the figure, the bound and whether it is met."""
    targets = []
    for workload, by_scheduler in results.items():
        ours = by_scheduler[PlannerScheduler.name]
        if ours["urgent wait p99 s"] is not None:
            targets.append(
                _at_most(workload, "urgent wait p99 s", ours, MAX_URGENT_P99_SECONDS)
            )
        if ours["deadlines"]:
            better = min(
                by_scheduler[baseline.name]["deadlines missed"]
                for baseline in (FirstComeFirstFit, StrictPriorityBestFit)
            )
            bound = MAX_MISSED_RATIO * better
            targets.append(_at_most(workload, "deadlines missed", ours, bound))
        if workload == "skewed mix":
            targets.append(
                _at_most(workload, "share distance", ours, MAX_SHARE_DISTANCE)
            )
        if ours["packing"] is not None:
            figure = ours["packing"]
            targets.append(
                {
                    "name": f"{workload}: packing",
                    "figure": figure,
                    "at least": MIN_PACKING,
                    "met": figure >= MIN_PACKING,
                }
            )
    return targets


def _at_most(workload, name, ours, bound):
    return {
        "name": f"{workload}: {name}",
        "figure": ours[name],
        "at most": bound,
        "met": ours[name] <= bound,
    }
