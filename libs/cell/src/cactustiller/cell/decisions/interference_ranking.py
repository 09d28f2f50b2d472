"""Preference for workers without tasks of images that interfere; no I/O.

Answers pairs of images that harm each other while there is capacity elsewhere: a task
goes to a worker without tasks of the other image of any pair of its own image, whether
it is the affected or the interfering one.
"""

from collections import Counter

# Ranks are bounded, so that a preference does not outweigh the sum of the others.
MAX_RANK = 4
# The search for a worker ends at the first one without a preference against it, so that
# ranks above 0 make a round longer: 1,000 tasks on 270 workers that all have runs of
# the other image took 1.3 s instead of 14 ms. The tasks beyond this number of ranks in
# a round, which are the least urgent, are placed without a preference.
MAX_RANKED_PER_ROUND = 2000


class InterferenceRanker:
    """Ranks workers by their tasks of images to be kept apart from a step's image.

    Parameters
    ----------
    estimates : PairEstimates
    clock : callable
        Returns the monotonic time of the event loop in seconds.
    """

    def __init__(self, estimates, clock):
        self._estimates = estimates
        self._clock = clock
        self._partners = {}
        self._version = 0
        self._placements = []
        self._counted = 0
        self._images = {}
        self._placed = {}
        self._ranked = 0

    def begin_round(self, placements):
        """Start a round; `placements` is the list that it adds its placements to.

        Placements become runs of their workers only after the round.
        """
        self._placements = placements
        self._counted = 0
        self._images.clear()
        self._placed.clear()
        self._ranked = 0
        if self._estimates.known:
            self._estimates.sweep(self._clock())
        if self._version != self._estimates.version:
            self._version = self._estimates.version
            self._partners = _collect_partners(self._estimates.known)

    def rank(self, step, worker):
        """Return the number of runs to be kept apart from the step, up to a limit."""
        partners = self._partners.get(step.spec.image)
        if not partners or self._ranked >= MAX_RANKED_PER_ROUND:
            return 0
        images = self._count_images(worker)
        rank = min(MAX_RANK, sum(images[image] for image in partners))
        self._ranked += rank > 0
        return rank

    def _count_images(self, worker):
        while self._counted < len(self._placements):
            task, other, *_ = self._placements[self._counted]
            self._counted += 1
            image = task.step.spec.image
            self._placed.setdefault(other, []).append(image)
            if other in self._images:
                self._images[other][image] += 1
        counts = self._images.get(worker)
        if counts is None:
            counts = Counter(task.step.spec.image for task, _ in worker.runs.values())
            counts.update(self._placed.get(worker, ()))
            self._images[worker] = counts
        return counts


def _collect_partners(known):
    """Return the images to be kept apart from each image, in both directions."""
    partners = {}
    for affected, interfering in known:
        partners.setdefault(affected, set()).add(interfering)
        partners.setdefault(interfering, set()).add(affected)
    return partners
