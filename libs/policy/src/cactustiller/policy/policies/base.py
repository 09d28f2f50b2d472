"""What every placement policy declares and shares."""

import numpy as np

PREFERRED_BONUS = 1.0
ACCELERATOR_PENALTY = 0.5
SPREAD_WEIGHT = 8.0


class PlacementPolicy:
    """Chooses among the workers that have room for a task.

    Attributes
    ----------
    kind : WorkloadKind
    is_whole : bool
        Whether all tasks of a job start together or not at all.
    is_preemptible : bool
        Whether a running task may be stopped for urgent work, where its queue allows.
    crowding : dict of str to float
        Cost of a task of the same job on the same ``worker``, ``rack``, ``zone``.
    packing : float
        Weight of how full the worker becomes.
    reason : str
        What a high score means, for explanations.
    """

    kind = None
    is_gang = False
    is_preemptible = False
    anti_affinity = {}
    packing_weight = 1.0
    reason = ""

    def score(self, fleet, shape, job_rows):
        """Return the score of each row for one task; the highest is best.

        Parameters
        ----------
        fleet : Fleet
        shape : Shape
        places : list of int
            Rows that hold tasks of the same job.
        """
        scores = shape.get_static_score(fleet).copy()
        if self.packing_weight:
            left = (fleet.free[0] - shape.amounts[0]) * fleet.inverse_total[0]
            memory = (fleet.free[1] - shape.amounts[1]) * fleet.inverse_total[1]
            np.maximum(left, memory, out=left)
            scores += self.packing_weight * (1.0 - left)
        for domain, weight in self._list_domain_weights(shape).items():
            if job_rows:
                scores -= weight * _count_domain_tasks(fleet, domain, job_rows)
        return scores

    def needs_job_rows(self, shape):
        """Return whether the score depends on where tasks of the job run."""
        return bool(self._list_domain_weights(shape))

    def _list_domain_weights(self, shape):
        weights = dict(self.anti_affinity)
        if shape.spread != "none":
            weights[shape.spread] = SPREAD_WEIGHT
        if shape.colocate != "none":
            weights[shape.colocate] = -SPREAD_WEIGHT
        return weights


def _count_domain_tasks(fleet, domain, job_rows):
    """Return for each row the tasks of a job in the same place."""
    rows = np.asarray(job_rows)
    if domain == "worker":
        return np.bincount(rows, minlength=len(fleet.names))
    codes = fleet.get_codes(domain)
    return np.bincount(codes[rows], minlength=codes.max() + 1)[codes]
