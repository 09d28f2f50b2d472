"""Order in which the waiting work of one team is considered."""

from heapq import heapify, heappop, heappush
from typing import NamedTuple

from cactustiller.model import JobId, Urgency

URGENT_RANK, AT_RISK_RANK, NORMAL_RANK, IDLE_RANK = range(4)
URGENCY_RANKS = {
    Urgency.URGENT: URGENT_RANK,
    Urgency.NORMAL: NORMAL_RANK,
    Urgency.IDLE: IDLE_RANK,
}
AT_RISK_SECONDS = 300.0
AT_RISK_RUN_FACTOR = 1.0
HEAP_SLACK = 2
IDLE_AGEING_FACTOR = 6.0


class OrderKey(NamedTuple):
    """Place of a job in its lane; times are wall-clock seconds."""

    latest_start: float
    submitted_at: float
    job: JobId


def find_ageing_seconds(job):
    """Return the wait after which a job without a deadline moves ahead."""
    is_idle = job.spec.urgency is Urgency.IDLE
    return job.ageing_seconds * (IDLE_AGEING_FACTOR if is_idle else 1.0)


def make_order_key(job, waves, is_late):
    """Return the `OrderKey` of a waiting job.

    Work without a deadline has to start within its ageing time, so it moves ahead of
    distant deadlines and never waits for ever. Work that is late gives way for its
    ageing time to work that can still be in time.

    Parameters
    ----------
    job : WaitingJob
    waves : float
        Runs one after the other that the waiting tasks need.
    is_late : bool
    """
    if not job.deadline_at:
        latest = job.submitted_at + find_ageing_seconds(job)
    elif is_late:
        latest = job.deadline_at + job.ageing_seconds
    else:
        latest = job.deadline_at - job.p90_seconds * waves
    return OrderKey(latest, job.submitted_at, job.job)


class ShapeQueue:
    """Waiting jobs of one team with the same shape, least slack first."""

    def __init__(self, shape):
        self.shape = shape
        self.reason = ""
        self.tasks = 0
        self._heap = []
        self._keys = {}
        self._counts = {}

    def __len__(self):
        return len(self._keys)

    def __iter__(self):
        return iter(sorted(self._keys.values()))

    def put(self, key, count):
        """Add a job with `count` waiting tasks, or change its place."""
        self.tasks += count - self._counts.get(key.job, 0)
        self._counts[key.job] = count
        if self._keys.get(key.job) == key:
            return
        self._keys[key.job] = key
        heappush(self._heap, key)
        if len(self._heap) > HEAP_SLACK * len(self._keys) + HEAP_SLACK:
            self._heap = list(self._keys.values())
            heapify(self._heap)

    def remove(self, job):
        """Remove a job."""
        if self._keys.pop(job, None) is not None:
            self.tasks -= self._counts.pop(job)

    def get_first(self):
        """Return the first `OrderKey`, or None where the lane is empty."""
        while self._heap:
            key = self._heap[0]
            if self._keys.get(key.job) == key:
                return key
            heappop(self._heap)
        return None

    def find_reason(self):
        """Return why the lane's first job waits."""
        return self.reason or self.shape.reason or "not yet considered"

    def count_before(self, key):
        """Return the number of jobs before a key."""
        return sum(other < key for other in self._keys.values())


def rank_job(job, key, now):
    """Return the rank of a job among all teams' work, lowest first."""
    rank = URGENCY_RANKS[job.spec.urgency]
    if rank == IDLE_RANK and now - job.submitted_at >= find_ageing_seconds(job):
        rank = NORMAL_RANK
    if rank == NORMAL_RANK and job.deadline_at:
        slack = key.latest_start - now
        risk = AT_RISK_SECONDS + AT_RISK_RUN_FACTOR * job.p90_seconds
        if slack <= risk and now + job.median_seconds <= job.deadline_at:
            rank = AT_RISK_RANK
    return rank
