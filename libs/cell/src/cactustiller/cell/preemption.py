"""Runs that give way to urgent work; they lose nothing but a restart."""

# Runs stopped in a round; what they free is counted before more are stopped.
MAX_VICTIMS = 6
# For a gang that could not be in time otherwise.
MAX_GANG_VICTIMS = 48
# A run that has just started would lose as much as it gives.
MIN_RUN_SECONDS = 0.4


def preempt_for_step(current_round, step, workers):
    """Choose runs to stop so that tasks of an urgent step find room.

    Only runs of steps with checkpoints are stopped, which save at a stop, and no
    members of gangs. Room that is already being freed is counted first.

    Parameters
    ----------
    current : Round
        Collects the choice.
    step : StepRun
        Urgent step that has no room at all.
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
    """Choose runs to stop so that a whole gang finds room; return its workers.

    Parameters
    ----------
    current : Round
        Collects the choice.
    step : StepRun
    workers : list of Worker
        Workers that may run it and are not kept for another gang.

    Returns
    -------
    list of Worker
        Empty where the gang would not fit even so.
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
    fits = [amount // n for amount, n in ((cpu, amounts[0]), (memory, amounts[1])) if n]
    return max(0, min(fits, default=0))


def _is_preemptible(task, now):
    spec = task.step.spec
    return (
        spec.has_checkpoints
        and not spec.is_gang
        and not spec.is_service
        and bool(task.started_at)
        and now - task.started_at >= MIN_RUN_SECONDS
    )


def _choose_victims(candidates, cpu, memory):
    """Return the fewest runs that free the amounts, or None."""
    victims = []
    for task in sorted(candidates, key=lambda task: -task.step.spec.counted[0]):
        if cpu <= 0 and memory <= 0:
            break
        victims.append(task)
        cpu -= task.step.spec.counted[0]
        memory -= task.step.spec.counted[1]
    return victims if cpu <= 0 and memory <= 0 else None
