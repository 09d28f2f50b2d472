"""Runs that give way to urgent work; they lose nothing but a restart."""

# Runs stopped in a round; what they free is counted before more are stopped.
MOST_VICTIMS = 6
# For a gang that could not be in time otherwise.
MOST_GANG_VICTIMS = 48
# A run that has just started would lose as much as it gives.
LEAST_SECONDS = 0.4


def preempt_for(current, step, workers):
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
    need = step.spec.counted
    wanted = step.waiting
    chosen = {id(task) for task, _ in current.preempted}
    options = []
    for worker in workers:
        victims = []
        cpu, memory = worker.free_cpu, worker.free_memory
        for task, run in worker.runs.values():
            if task.is_stopping or id(task) in chosen:
                cpu += task.step.spec.counted[0]
                memory += task.step.spec.counted[1]
            elif task.run == run and _may_stop(task, current.now):
                victims.append(task)
        if cpu >= need[0] and memory >= need[1]:
            wanted -= 1
            continue
        taken = _choose_victims(victims, need[0] - cpu, need[1] - memory)
        if taken is not None:
            options.append((len(taken), worker.info.worker, worker, taken))
    options.sort(key=lambda option: option[:2])
    for count, _, worker, taken in options:
        if wanted <= 0 or len(current.preempted) + count > MOST_VICTIMS:
            return
        current.preempted += [(task, worker) for task in taken]
        wanted -= 1


def preempt_for_gang(current, step, workers):
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
    need = step.spec.counted
    chosen = {id(task) for task, _ in current.preempted}
    options = []
    for worker in workers:
        cpu, memory = worker.free_cpu, worker.free_memory
        victims = []
        for task, run in worker.runs.values():
            if task.is_stopping or id(task) in chosen:
                cpu += task.step.spec.counted[0]
                memory += task.step.spec.counted[1]
            elif task.run == run and _may_stop(task, current.now):
                victims.append(task)
        own = _count_fits(cpu, memory, need)
        most = _count_fits(
            cpu + sum(task.step.spec.counted[0] for task in victims),
            memory + sum(task.step.spec.counted[1] for task in victims),
            need,
        )
        if most:
            options.append(
                (-own, -most, worker.info.worker, worker, victims, cpu, memory)
            )
    options.sort(key=lambda option: option[:3])
    missing = step.spec.count
    stops, kept = [], []
    for _, negative_most, _, worker, victims, cpu, memory in options:
        count = min(missing, -negative_most)
        taken = _choose_victims(
            victims, count * need[0] - cpu, count * need[1] - memory
        )
        stops += [(task, worker) for task in taken or ()]
        kept.append(worker)
        missing -= count
        if not missing:
            break
    if missing or len(stops) > MOST_GANG_VICTIMS:
        return []
    current.preempted += stops
    return kept


def _count_fits(cpu, memory, need):
    fits = [amount // n for amount, n in ((cpu, need[0]), (memory, need[1])) if n]
    return max(0, min(fits, default=0))


def _may_stop(task, now):
    spec = task.step.spec
    return (
        spec.has_checkpoints
        and not spec.is_gang
        and not spec.is_service
        and bool(task.started_at)
        and now - task.started_at >= LEAST_SECONDS
    )


def _choose_victims(victims, cpu, memory):
    """Return the fewest runs that free the amounts, or None."""
    taken = []
    for task in sorted(victims, key=lambda task: -task.step.spec.counted[0]):
        if cpu <= 0 and memory <= 0:
            break
        taken.append(task)
        cpu -= task.step.spec.counted[0]
        memory -= task.step.spec.counted[1]
    return taken if cpu <= 0 and memory <= 0 else None
