"""Shapes: scheduling equivalence classes of jobs.

Jobs with equal resources, constraints, kind and urgency share one shape, so that
feasibility and the static part of the score are computed once for all of them.
"""

from typing import NamedTuple

import numpy as np

from cactustiller.model import Urgency, WorkloadKind

from .fleet import read_attribute
from .policies import get_policy
from .policies.base import ACCELERATOR_PENALTY, PREFERRED_BONUS
from .snapshots import Amounts


class ShapeKey(NamedTuple):
    """All properties of a job that determine where its tasks can be placed."""

    kind: WorkloadKind
    urgency: Urgency
    amounts: Amounts
    required: tuple[tuple[str, str], ...]
    preferred: tuple[tuple[str, str], ...]
    spread: str
    colocate: str
    gang_size: int
    avoided: frozenset


class Shape:
    """Shape with its eligible workers and static scores on the current fleet."""

    def __init__(self, key):
        self.key = key
        self.kind = key.kind
        self.urgency = key.urgency
        self.amounts = key.amounts
        self.spread = key.spread
        self.colocate = key.colocate
        self.teams = set()
        self.may_fit = False
        self.exhausted = set()
        self._version = 0
        self._eligible = None
        self._static_score = None
        self.infeasible_reason = ""
        self.reason = ""

    def get_eligible(self, fleet):
        """Return the mask of eligible workers, regardless of their free capacity.

        Workers in evacuated zones are not eligible: nothing is placed there, and
        capacity is neither awaited nor freed there.
        """
        self._refresh(fleet)
        return self._eligible

    def get_static_score(self, fleet):
        """Return the part of the score that does not depend on the load."""
        self._refresh(fleet)
        return self._static_score

    def is_no_easier_than(self, other):
        """Return whether no worker can fit this shape if none can fit the other."""
        key, than = self.key, other.key
        return (
            key.urgency is than.urgency
            and key.required == than.required
            and not than.avoided
            and key.amounts[0] >= than.amounts[0]
            and key.amounts[1] >= than.amounts[1]
            and key.amounts[2] >= than.amounts[2]
        )

    def find_infeasible_reason(self, fleet):
        """Return why no worker can ever run it, or an empty string."""
        self._refresh(fleet)
        return self.infeasible_reason

    def _refresh(self, fleet):
        if self._version == fleet.version:
            return
        self._version = fleet.version
        key = self.key
        eligible = fleet.find_eligible(dict(key.required))
        avoided = [fleet.rows[name] for name in key.avoided if name in fleet.rows]
        self._eligible = eligible.copy()
        self._eligible[avoided] = False
        if not (self._eligible & self._fits_when_empty(fleet)).any():
            # The job failed on every worker that can run it: avoiding them would
            # leave none, so it is retried until it runs out of attempts.
            self._eligible = eligible
        self._eligible = self._eligible & fleet.is_open
        self._static_score = PREFERRED_BONUS * fleet.count_preferred(
            dict(key.preferred)
        )
        if not key.amounts.accelerators:
            self._static_score -= ACCELERATOR_PENALTY * fleet.has_accelerators
        self.infeasible_reason = self._explain_infeasible(fleet)

    def _fits_when_empty(self, fleet):
        return fleet.count_fitting(self.amounts, fleet.total) > 0

    def _explain_infeasible(self, fleet):
        key = self.key
        if not fleet.names:
            return ""
        eligible = fleet.find_eligible(dict(key.required))
        counts = fleet.count_fitting(key.amounts, fleet.total)
        counts = np.where(eligible, np.minimum(counts, key.gang_size or 1), 0)
        if not counts.any():
            return f"no worker can ever run it; {self._describe_nearest(fleet)}"
        if key.gang_size > counts.sum():
            return (
                f"all {key.gang_size} tasks must start together, but the whole cell "
                f"fits at most {counts.sum()} of them"
            )
        return ""

    def _describe_nearest(self, fleet):
        """Return the worker that comes closest to fitting, and what it lacks."""
        lacking = np.zeros(len(fleet.names))
        for total, amount in zip(fleet.total, self.amounts, strict=True):
            if amount:
                lacking += np.maximum(amount - total, 0) / amount
        unmet = len(self.key.required) - fleet.count_preferred(dict(self.key.required))
        row = int(np.argmin(lacking + unmet))
        snapshot = fleet.get_snapshot(row)
        shortfalls = [
            f"{name} is {read_attribute(snapshot, name) or 'not set'}, not {value}"
            for name, value in self.key.required
            if read_attribute(snapshot, name) != value
        ]
        shortfalls += [
            f"{name} {total} of {amount} needed"
            for name, total, amount in zip(
                Amounts._fields, Amounts.of(snapshot.total), self.amounts, strict=True
            )
            if total < amount
        ]
        return f"the nearest is {snapshot.worker}: {', '.join(shortfalls)}"


def make_shape_key(job):
    """Return the `ShapeKey` of a `WaitingJob`."""
    spec, template = job.spec, job.spec.template
    is_gang = get_policy(spec.kind).is_gang
    return ShapeKey(
        kind=spec.kind,
        urgency=spec.urgency,
        amounts=Amounts.of(template.resources),
        required=tuple(sorted(template.required.items())),
        preferred=tuple(sorted(template.preferred.items())),
        spread=job.spread,
        colocate=job.colocate,
        gang_size=len(job.indices) if is_gang else 0,
        avoided=job.avoided_workers,
    )


def find_infeasible_reason(job, fleet):
    """Return why a job can never run on this fleet, or an empty string."""
    fleet.refresh()
    return Shape(make_shape_key(job)).find_infeasible_reason(fleet)
