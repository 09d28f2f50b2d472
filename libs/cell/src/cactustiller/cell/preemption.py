"""Choice of the runs to preempt for urgent work.

Only runs that save a checkpoint when stopped are preempted, so they lose no work but
the cost of a restart.
"""

# Limit of runs preempted in a round for single tasks; the capacity that they free is
# counted before more are preempted.
MAX_VICTIMS = 6
# Limit for a gang that would otherwise miss its objective.
MAX_GANG_VICTIMS = 48
# Preempting a younger run costs as much as it gains.
MIN_RUN_SECONDS = 0.4


def preempt_for_step(current_round, step, workers):
    """Choose runs to preempt so that tasks of an urgent step fit.

    Only runs of steps with checkpoints, which are saved at a stop, are preempted, and
    no gang members. Capacity that running stops will free is counted first.

    Parameters
    ----------
    current_round : PlacementRound
        Collects the choice.
    step : StepRun
        Urgent step that fits on no worker.
    workers : list of Worker
        Workers that may run it.
    """
    amounts = step.spec.counted
    wanted = step.pending_count
    stopping_ids = {id(task) for task, _ in current_round.preempted}
    options = []
    for worker in workers:
        candidates = []
        cpu, memory = worker.free_cpu, worker.free_memory
        for task, run in worker.runs.values():
            if task.is_stopping or id(task) in stopping_ids:
                cpu += task.step.spec.counted[0]
                memory += task.step.spec.counted[1]
            elif task.run == run and _is_preemptible(task, current_round.now):
                candidates.append(task)
        if cpu >= amounts[0] and memory >= amounts[1]:
            wanted -= 1
            continue
        victims = _choose_victims(candidates, amounts[0] - cpu, amounts[1] - memory)
        if victims is not None:
            options.append((len(victims), worker.info.worker, worker, victims))
    options.sort(key=lambda option: option[:2])
    for count, _, worker, victims in options:
        if wanted <= 0 or len(current_round.preempted) + count > MAX_VICTIMS:
            return
        current_round.preempted += [(task, worker) for task in victims]
        wanted -= 1


def preempt_for_gang(current_round, step, workers):
    """Choose runs to preempt so that a whole gang fits; return its workers.

    Parameters
    ----------
    current_round : PlacementRound
        Collects the choice.
    step : StepRun
    workers : list of Worker
        Workers that may run it and are not reserved for another gang.

    Returns
    -------
    list of Worker
        Empty if the gang does not fit even with preemption.
    """
    amounts = step.spec.counted
    stopping_ids = {id(task) for task, _ in current_round.preempted}
    options = []
    for worker in workers:
        cpu, memory = worker.free_cpu, worker.free_memory
        candidates = []
        for task, run in worker.runs.values():
            if task.is_stopping or id(task) in stopping_ids:
                cpu += task.step.spec.counted[0]
                memory += task.step.spec.counted[1]
            elif task.run == run and _is_preemptible(task, current_round.now):
                candidates.append(task)
        fits_now = _count_fits(cpu, memory, amounts)
        fits_after_stops = _count_fits(
            cpu + sum(task.step.spec.counted[0] for task in candidates),
            memory + sum(task.step.spec.counted[1] for task in candidates),
            amounts,
        )
        if fits_after_stops:
            options.append(
                (
                    -fits_now,
                    -fits_after_stops,
                    worker.info.worker,
                    worker,
                    candidates,
                    cpu,
                    memory,
                )
            )
    options.sort(key=lambda option: option[:3])
    missing = step.spec.count
    stops, chosen_workers = [], []
    for _, negated_fits, _, worker, candidates, cpu, memory in options:
        count = min(missing, -negated_fits)
        victims = _choose_victims(
            candidates, count * amounts[0] - cpu, count * amounts[1] - memory
        )
        stops += [(task, worker) for task in victims or ()]
        chosen_workers.append(worker)
        missing -= count
        if not missing:
            break
    if missing or len(stops) > MAX_GANG_VICTIMS:
        return []
    current_round.preempted += stops
    return chosen_workers


def _count_fits(cpu, memory, amounts):
    """Return how many tasks of the amounts fit into the free CPU and memory."""
    fits = [amount // n for amount, n in ((cpu, amounts[0]), (memory, amounts[1])) if n]
    return max(0, min(fits, default=0))


def _is_preemptible(task, now):
    """Return whether a run can be preempted without loss of work."""
    spec = task.step.spec
    return (
        spec.has_checkpoints
        and not spec.is_gang
        and not spec.is_service
        and bool(task.started_at)
        and now - task.started_at >= MIN_RUN_SECONDS
    )


def _choose_victims(candidates, cpu, memory):
    """Return runs that free at least the amounts, largest CPU first, or None."""
    victims = []
    for task in sorted(candidates, key=lambda task: -task.step.spec.counted[0]):
        if cpu <= 0 and memory <= 0:
            break
        victims.append(task)
        cpu -= task.step.spec.counted[0]
        memory -= task.step.spec.counted[1]
    return victims if cpu <= 0 and memory <= 0 else None
