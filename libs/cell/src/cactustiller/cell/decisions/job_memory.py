"""Whether there is memory for one more job, or one more occurrence of it; no I/O.

Load: callers with a valid key submit jobs of legal size whose tasks take thousands of
times the memory of the request, or whose occurrences are all due at once.
"""

from ..records.specs import MAX_TASKS_PER_JOB

# Memory of a job, of a step of its specification, and of a task and a step of an open
# occurrence.
JOB_BYTES = 1024
STEP_SPEC_BYTES = 512
STEP_BYTES = 1024
TASK_BYTES = 400
# The total is computed at most this often; jobs admitted meanwhile are added to it.
TOTAL_VALID_SECONDS = 0.5
DEFAULT_JOB_BYTES = 64 * 1024 * 1024


def estimate_job_bytes(spec, open_count):
    """Return the memory of a job with so many open occurrences."""
    steps = len(spec.steps)
    tasks = sum(step.count for step in spec.steps)
    closed = JOB_BYTES + len(spec.payload) + steps * STEP_SPEC_BYTES
    return closed + open_count * (steps * STEP_BYTES + tasks * TASK_BYTES)


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
        self._used_bytes = 0
        self._counted_at = float("-inf")

    @property
    def used_bytes(self):
        """Estimated memory of all jobs."""
        now = self._clock()
        if now >= self._counted_at + TOTAL_VALID_SECONDS:
            self._counted_at = now
            self._used_bytes = sum(
                estimate_job_bytes(job.spec, len(job.occurrences))
                for job in self._jobs.values()
            )
        return self._used_bytes

    def admit(self, spec):
        """Return whether there is memory for a new job, which then counts."""
        return self._reserve(estimate_job_bytes(spec, 1))

    def admit_occurrence(self, job):
        """Return whether a recurring job may have one more open occurrence.

        One is always allowed. Others may overlap it up to the number of tasks that a
        job without occurrences may have; the next one then waits until one is complete.
        """
        if not job.occurrences:
            return True
        spec, count = job.spec, len(job.occurrences)
        tasks = sum(step.count for step in spec.steps)
        if (count + 1) * tasks > MAX_TASKS_PER_JOB:
            return False
        return self._reserve(estimate_job_bytes(spec, 1) - estimate_job_bytes(spec, 0))

    def _reserve(self, size):
        if self.used_bytes + size > self._max_bytes:
            return False
        self._used_bytes += size
        return True
