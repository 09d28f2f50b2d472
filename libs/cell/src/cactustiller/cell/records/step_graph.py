"""Dependencies between the steps of a job, in time linear in steps and dependencies."""

from typing import NamedTuple


class StepGraph(NamedTuple):
    """What follows from the dependencies of a job's steps, by position.

    Attributes
    ----------
    dependents : list of list of int
        Later steps that wait for a step.
    blocker_counts : list of int
        Number of earlier steps that a step waits for.
    path_ms : list of float
        Length of the critical path from a step on, by estimated durations.
    longest_ms : float
        Length of the critical path of the whole job.
    """

    dependents: list[list[int]]
    blocker_counts: list[int]
    path_ms: list[float]
    longest_ms: float


def build_step_graph(steps):
    """Return the `StepGraph` of a job's steps, a sequence of StepSpec."""
    dependents = [[] for _ in steps]
    blocker_counts = [0] * len(steps)
    path_ms = [0.0] * len(steps)
    # A step only follows earlier ones, so each is complete before those it follows.
    for position in range(len(steps) - 1, -1, -1):
        step = steps[position]
        path_ms[position] += step.estimate_ms
        blockers = set(step.after)
        blocker_counts[position] = len(blockers)
        for earlier in blockers:
            dependents[earlier].append(position)
            path_ms[earlier] = max(path_ms[earlier], path_ms[position])
    longest_ms = max(path_ms, default=0.0)
    return StepGraph(dependents, blocker_counts, path_ms, longest_ms)
