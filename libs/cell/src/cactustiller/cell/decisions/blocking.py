"""Why a waiting step is not started; no I/O.

Answers operators who ask why an accepted job waits, in particular while an evacuation,
a team's limit or an approval holds back work although workers have free capacity.
"""

from collections import Counter
from enum import Enum
from typing import NamedTuple

from ..records.workers import Exclusion
from .candidates import cap_per_worker, count_tasks_by_worker
from .reservations import may_use_reserved


class Obstacle(Enum):
    """Why a step waits, besides the exclusion of workers (`Exclusion`)."""

    NONE = "none"
    RETRY_DELAY = "retry delay"
    TEAM_LIMIT = "team limit"
    APPROVAL = "approval"
    DEFERRED = "deferred"
    NO_WORKER = "no worker"
    LABEL = "label"
    NOT_APPROVED = "not approved"
    RESERVED = "reserved"
    PER_WORKER_LIMIT = "limit per worker"
    CPU = "cpu"
    MEMORY = "memory"
    ACCELERATORS = "accelerators"


RESOURCES = (Obstacle.CPU, Obstacle.MEMORY, Obstacle.ACCELERATORS)
SHORTAGES = frozenset((*RESOURCES, Obstacle.LABEL, Obstacle.PER_WORKER_LIMIT))
# Obstacles that keep free capacity from a step. An unlisted worker is gone.
WITHHOLDING = (
    *(exclusion for exclusion in Exclusion if exclusion is not Exclusion.UNLISTED),
    Obstacle.NOT_APPROVED,
    Obstacle.RESERVED,
)


class Block(NamedTuple):
    """Why a step waits.

    Attributes
    ----------
    reason : Obstacle or Exclusion
        First obstacle without which the step could start; if there is none, the one
        that most workers have.
    counts : Counter
        Workers of the step's service by their obstacle; empty if the reason concerns
        the step and not its workers.
    """

    reason: Enum
    counts: Counter


def find_step_obstacle(step, rules, has_team_room, is_deferred, now):
    """Return the `Obstacle` that holds a step back whatever the workers, or None.

    Parameters
    ----------
    step : StepRun
    rules : QueueRules
    has_team_room : bool
        The team's limit allows the next start of the step.
    is_deferred : bool
        The step has no value any more and waits for a less busy service.
    now : float
        Event loop time in seconds.
    """
    if step.retry_at > now:
        return Obstacle.RETRY_DELAY
    if not has_team_room:
        return Obstacle.TEAM_LIMIT
    if is_deferred:
        return Obstacle.DEFERRED
    if rules.needs_approval and step.approved is None:
        return Obstacle.APPROVAL
    return None


def find_block(step, rules, key, workers, now, is_half_used=True):
    """Return the `Block` of a step that nothing but the workers holds back.

    Parameters
    ----------
    step : StepRun
    rules : QueueRules
    key : OrderKey
    workers : iterable of Worker
    now : float
        Event loop time in seconds.
    is_half_used : bool
        Half of the step's service, or more, is in use.
    """
    needed = step.spec.count if step.spec.is_gang else 1
    used = count_tasks_by_worker(step)
    is_privileged = may_use_reserved(key, step, is_half_used, now)
    amounts = step.spec.counted
    counts, room = Counter(), Counter()
    for worker in workers:
        if worker.info.service != rules.service:
            continue
        obstacle = _find_withholding(step, rules, worker, is_privileged, now)
        if obstacle is Obstacle.NONE:
            obstacle = _find_shortage(step, used, amounts, worker)
        counts[obstacle] += 1
        # Most workers of a full cell need no closer look.
        if obstacle not in SHORTAGES and worker.free_cpu >= amounts[0]:
            max_count = cap_per_worker(step, used, worker, needed)
            room[obstacle] += worker.count_fits(amounts, max_count)
    return Block(_find_reason(counts, room, needed), counts)


def _find_withholding(step, rules, worker, is_privileged, now):
    label = step.spec.required_label
    if label and label not in worker.info.labels:
        return Obstacle.LABEL
    exclusion = worker.find_exclusion(now)
    if exclusion is not None:
        return exclusion
    if rules.needs_approval and worker.info.worker not in step.approved:
        return Obstacle.NOT_APPROVED
    is_reserved = worker.reserved_for not in (None, step)
    if is_reserved and not is_privileged:
        return Obstacle.RESERVED
    return Obstacle.NONE


def _find_shortage(step, used, amounts, worker):
    if worker.free_cpu < amounts[0]:
        return Obstacle.CPU
    if worker.free_memory < amounts[1]:
        return Obstacle.MEMORY
    if worker.free_accelerators < amounts[2]:
        return Obstacle.ACCELERATORS
    if cap_per_worker(step, used, worker, 1) <= 0:
        return Obstacle.PER_WORKER_LIMIT
    return Obstacle.NONE


def _find_reason(counts, room, needed):
    available = room[Obstacle.NONE]
    if available >= needed:
        return Obstacle.NONE
    for obstacle in WITHHOLDING:
        if room[obstacle] and available + room[obstacle] >= needed:
            return obstacle
    # A gang for which some capacity is free lacks more of what the others lack.
    short = Counter({name: n for name, n in counts.items() if name in RESOURCES})
    ranked = (short or counts).most_common(1)
    return ranked[0][0] if ranked else Obstacle.NO_WORKER
