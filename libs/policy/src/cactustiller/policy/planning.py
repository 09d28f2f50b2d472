"""The decision: which waiting tasks go to which workers now."""

from collections import Counter
from dataclasses import replace

from cactustiller.model import WorkloadKind

from .fitting import is_eligible, score_worker
from .ordering import order_jobs
from .snapshots import Placement, Plan, WaitReason


def plan_placements(snapshot):
    """Return the placements for a snapshot; a pure function."""
    plan = Plan()
    workers = [replace(worker) for worker in snapshot.workers]
    teams = {name: replace(team) for name, team in snapshot.teams.items()}
    for position, job in enumerate(order_jobs(snapshot)):
        reason = _place_job(job, workers, teams[job.spec.team], plan)
        if reason:
            plan.waits.append(WaitReason(job.job, position, reason))
    return plan


def _place_job(job, workers, team, plan):
    """Place a job's tasks; return why the rest waits, or an empty string."""
    placements = []
    undo = []
    places = Counter()
    reason = ""
    for index in job.indices:
        reason = _find_limit(job, team)
        if reason:
            break
        chosen = _choose_worker(job, workers, places)
        if chosen is None:
            reason = "no worker has room"
            break
        worker, score, candidates = chosen
        resources = job.spec.template.resources
        worker.free = worker.free - resources
        team.used = team.used + resources
        team.used_tasks += 1
        undo.append(worker)
        places.update((worker.worker, worker.rack, worker.zone))
        placements.append(
            Placement(
                job.job,
                index,
                worker.worker,
                worker.shard,
                candidates,
                score,
                f"best score of {candidates} workers with room",
            )
        )
    if reason and job.spec.kind is WorkloadKind.ALL_AT_ONCE:
        _undo(job, team, undo)
        return f"{reason} for all tasks at once"
    plan.placements.extend(placements)
    return reason


def _undo(job, team, workers):
    resources = job.spec.template.resources
    for worker in workers:
        worker.free = worker.free + resources
        team.used = team.used - resources
        team.used_tasks -= 1


def _find_limit(job, team):
    wanted = team.used + job.spec.template.resources
    if team.limit_tasks and team.used_tasks >= team.limit_tasks:
        return f"team limit of {team.limit_tasks} tasks"
    for name in ("cpu_millis", "memory_mib", "accelerators"):
        limit = getattr(team.limit, name)
        if limit and getattr(wanted, name) > limit:
            return f"team limit of {limit} {name}"
    return ""


def _choose_worker(job, workers, places):
    template = job.spec.template
    best = None
    candidates = 0
    for worker in workers:
        if worker.worker in job.avoided_workers:
            continue
        if not template.resources.fits_within(worker.free):
            continue
        if not is_eligible(worker, template):
            continue
        candidates += 1
        score = score_worker(job.spec.kind, worker, template, places)
        if best is None or score > best[1]:
            best = (worker, score)
    return (*best, candidates) if best else None
