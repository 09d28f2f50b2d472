"""Handlers of peers' requests, by message type."""

from functools import singledispatchmethod

from result import OkErr

from cactustiller.model import ErrorCode, Failure
from cactustiller.model.messages import (
    AcquirePermits,
    AnnounceSettings,
    CancelJob,
    Done,
    Drain,
    ExplainJob,
    GetJob,
    GetSettings,
    GetStats,
    ListJobs,
    PublishUsage,
    PublishWorkers,
    ReleaseRuns,
    ReportRuns,
    ReserveRuns,
    StartRuns,
    Stats,
    StopRuns,
    SubmitJob,
)
from cactustiller.ownership import pool_of_service


class Handlers:
    """Routes requests to the homes, shards and pools of an incarnation.

    Parameters
    ----------
    incarnation : Incarnation
    """

    def __init__(self, incarnation):
        self._incarnation = incarnation
        self._partitions = incarnation.partitions

    async def handle(self, message, hello):
        """Return the reply to a message, or a `Failure`."""
        if isinstance(message, AnnounceSettings | GetSettings):
            return await self._incarnation.replica.answer(message, hello)
        answer = await self._answer(message)
        if isinstance(answer, OkErr):
            return answer.unwrap() if answer.is_ok() else answer.unwrap_err()
        return answer

    @singledispatchmethod
    async def _answer(self, message):
        return Failure(
            code=ErrorCode.INVALID,
            step=f"handle {type(message).__name__}",
            reason="a scheduler does not serve this request",
        )

    @_answer.register
    async def _(self, message: SubmitJob):
        home = self._partitions.find(self._partitions.homes, message.home)
        if home is None:
            return self._partitions.refuse(message.home)
        failure = self._incarnation.dispatcher.find_never_runnable(home, message)
        return failure or await home.submit(message)

    @_answer.register
    async def _(self, message: GetJob):
        return self._ask_home(message, lambda home: home.get(message))

    @_answer.register
    async def _(self, message: ExplainJob):
        return self._ask_home(message, lambda home: home.explain(message))

    @_answer.register
    async def _(self, message: ListJobs):
        return self._ask_home(message, lambda home: home.list_jobs(message))

    @_answer.register
    async def _(self, message: CancelJob):
        home = self._partitions.find(self._partitions.homes, message.home)
        if home is None:
            return self._partitions.refuse(message.home)
        return await home.cancel(message)

    @_answer.register
    async def _(self, message: ReportRuns):
        home = self._partitions.find(self._partitions.homes, message.home)
        if home is None:
            return self._partitions.refuse(message.home)
        return await home.record_reports(message)

    @_answer.register
    async def _(self, message: ReserveRuns):
        return self._ask_shard(message, lambda shard: shard.reserve(message))

    @_answer.register
    async def _(self, message: ReleaseRuns):
        return self._ask_shard(message, lambda shard: shard.release_runs(message.runs))

    @_answer.register
    async def _(self, message: StartRuns):
        shard = self._partitions.find(self._partitions.shards, message.shard)
        if shard is None:
            return self._partitions.refuse(message.shard)
        return await shard.start_runs(message)

    @_answer.register
    async def _(self, message: StopRuns):
        shard = self._partitions.find(self._partitions.shards, message.shard)
        if shard is None:
            return self._partitions.refuse(message.shard)
        return await shard.stop_runs(message)

    @_answer.register
    async def _(self, message: PublishWorkers):
        self._incarnation.receive_views(message.workers)
        return Done()

    @_answer.register
    async def _(self, message: PublishUsage):
        self._incarnation.dispatcher.feed.receive_usage(message)
        return Done()

    @_answer.register
    async def _(self, message: AcquirePermits):
        return self._ask_pool(message, lambda pool: pool.acquire(message))

    @_answer.register
    async def _(self, message: GetStats):
        return Stats(text=self._incarnation.export_stats())

    @_answer.register
    async def _(self, message: Drain):
        self._incarnation.request_drain()
        return Done()

    def _ask_home(self, message, ask):
        home = self._partitions.find(self._partitions.homes, message.home)
        return self._partitions.refuse(message.home) if home is None else ask(home)

    def _ask_shard(self, message, ask):
        shard = self._partitions.find(self._partitions.shards, message.shard)
        return self._partitions.refuse(message.shard) if shard is None else ask(shard)

    def _ask_pool(self, message, ask):
        partition = pool_of_service(message.service)
        pool = self._partitions.find(self._partitions.pools, partition)
        return self._partitions.refuse(partition) if pool is None else ask(pool)
