"""Runs that give way to urgent work; they lose nothing but a restart."""

# Runs stopped in a round; what they free is counted before more are stopped.
MOST_VICTIMS = 6
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
