"""Choice of a worker for one task, by the kind of its job."""

from cactustiller.model import WorkloadKind

PREFERRED_BONUS = 1.0


def is_eligible(worker, template):
    """Return whether a worker has the attributes that a task requires."""
    return all(
        _attribute_of(worker, name) == value
        for name, value in template.required.items()
    )


def score_worker(kind, worker, template, used_places):
    """Return the score of a worker that fits; the highest is best.

    Batch packs tightly on the dominant resource; services go where fewest tasks of
    the job run.
    """
    left = worker.free - template.resources
    fullness = 1.0 - max(
        _fraction(left.cpu_millis, worker.total.cpu_millis),
        _fraction(left.memory_mib, worker.total.memory_mib),
    )
    preferred = sum(
        PREFERRED_BONUS
        for name, value in template.preferred.items()
        if _attribute_of(worker, name) == value
    )
    if kind is WorkloadKind.SERVICE:
        crowding = used_places.get(worker.worker, 0) * 4
        crowding += used_places.get(worker.rack, 0) * 2
        crowding += used_places.get(worker.zone, 0)
        return preferred - crowding
    return preferred + fullness


def _attribute_of(worker, name):
    if name in ("zone", "rack", "make"):
        return getattr(worker, name)
    return worker.attributes.get(name)


def _fraction(part, whole):
    return part / whole if whole else 0.0
