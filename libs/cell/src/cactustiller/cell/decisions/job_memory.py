"""Whether there is memory for one more job, or one more occurrence of it; no I/O.

Load: callers with a valid key submit jobs of legal size whose tasks take thousands of
times the memory of the request, or whose occurrences are all due at once.
"""

import sys
from collections import Counter
from typing import NamedTuple

from ..records.specs import MAX_TASKS_PER_JOB

# Memory of a job, of a step of its specification without its texts, of a number in the
# list of steps that it follows, and of a step and a task of an open occurrence.
JOB_BYTES = 1024
STEP_SPEC_BYTES = 512
# A stored row comes back once by the change feed, which the owner decodes again.
TEXT_COPIES = 2
NUMBER_BYTES = 40
STEP_BYTES = 1024
TASK_BYTES = 400
# The total is computed at most this often; jobs admitted meanwhile are added to it.
TOTAL_VALID_SECONDS = 2.0
# This share of the memory is kept for teams that use little of it; deferred jobs are
# loaded once it is free.
FREE_SHARE = 0.1
# A team uses little as long as its jobs take less than this share.
SMALL_TEAM_SHARE = 0.05
DEFAULT_JOB_BYTES = 64 * 1024 * 1024


class JobSize(NamedTuple):
    """Estimated memory of a job in bytes.

    Attributes
    ----------
    specification : int
        Kept until the job is removed.
    occurrence : int
        Each open occurrence; a job that does not recur has one until it ends.
    """

    specification: int
    occurrence: int


def estimate_job_size(spec):
    """Return the `JobSize` of a job."""
    specification = JOB_BYTES + TEXT_COPIES * sys.getsizeof(spec.payload)
    occurrence = 0
    for step in spec.steps:
        texts = (step.image, step.required_label, step.data_rack)
        specification += STEP_SPEC_BYTES
        specification += TEXT_COPIES * sum(map(sys.getsizeof, texts))
        specification += len(step.after) * NUMBER_BYTES
        occurrence += STEP_BYTES + step.count * TASK_BYTES
    return JobSize(specification, occurrence)


class JobMemory:
    """Memory of the jobs that an owner keeps.

    Parameters
    ----------
    jobs : dict of JobId to JobRun
    max_bytes : int
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(self, jobs, max_bytes, clock):
        self._jobs = jobs
        self._max_bytes = max_bytes
        self._clock = clock
        self._sizes = {}
        self._used_bytes = 0
        self._used_by_team = Counter()
        self._counted_at = float("-inf")

    @property
    def used_bytes(self):
        """Estimated memory of all jobs."""
        now = self._clock()
        if now >= self._counted_at + TOTAL_VALID_SECONDS:
            self._counted_at = now
            self._sum_up()
        return self._used_bytes

    @property
    def has_room(self):
        """Whether a share of the memory is free for jobs that were deferred."""
        return self.used_bytes < self._max_bytes * (1 - FREE_SHARE)

    def count(self, job):
        """Add a job that is kept whether there is memory for it or not."""
        size = estimate_job_size(job.spec)
        occurrences = len(job.occurrences) * size.occurrence
        self._add(job.spec.team, size.specification + occurrences)

    def admit(self, spec):
        """Return whether there is memory for a new job, which then counts."""
        return self._reserve(spec.team, sum(estimate_job_size(spec)))

    def admit_occurrence(self, job):
        """Return whether a recurring job may have one more open occurrence.

        One is always allowed. Others may overlap it up to the number of tasks that a
        job without occurrences may have; the next one then waits until one is complete.
        """
        if not job.occurrences:
            return True
        tasks = sum(step.count for step in job.spec.steps)
        if (len(job.occurrences) + 1) * tasks > MAX_TASKS_PER_JOB:
            return False
        return self._reserve(job.spec.team, estimate_job_size(job.spec).occurrence)

    def _reserve(self, team, size):
        """Add to the memory of a team's jobs if there is room; return whether so."""
        total = self.used_bytes + size
        is_small = self._used_by_team[team] < SMALL_TEAM_SHARE * self._max_bytes
        if total > self._max_bytes * (1 if is_small else 1 - FREE_SHARE):
            return False
        self._add(team, size)
        return True

    def _add(self, team, size):
        self._used_bytes += size
        self._used_by_team[team] += size

    def _sum_up(self):
        previous, self._sizes, self._used_bytes = self._sizes, {}, 0
        self._used_by_team = Counter()
        for job_id, job in self._jobs.items():
            size = previous.get(job_id) or estimate_job_size(job.spec)
            self._sizes[job_id] = size
            occurrences = len(job.occurrences) * size.occurrence
            self._add(job.spec.team, size.specification + occurrences)
