"""Placement loop: turns plans into reservations, committed assignments and starts."""

import asyncio

import structlog

from cactustiller.model import ErrorCode, Failure, WorkloadKind
from cactustiller.model.messages import (
    ReleaseRuns,
    ReserveRuns,
    StartRuns,
    StopRuns,
)
from cactustiller.policy import explain_waiting
from cactustiller.ports import Conflict

from .feed import PlannerFeed
from .runs import make_run_key
from .supervision import watch_task

BATCH_DELAY_SECONDS = 0.01
MAX_IDLE_SECONDS = 1.0
RESERVATION_MS = 10_000
CALL_TIMEOUT_SECONDS = 2.0
START_RETRY_SECONDS = 0.3
COMMIT_TRIES = 5
STOP_TRIES = 3

log = structlog.get_logger(__name__)


class Dispatcher:
    """Places the pending tasks of all homes that a member owns.

    Parameters
    ----------
    member : Member
    homes : dict of PartitionId to Home
        The member's homes; `Partitions` adds and removes them.
    view : CellView
    clock : WallClock
    find_values : callable
        Returns the `ResolvedValues` of a team and queue; None if unknown.
    """

    def __init__(self, member, homes, view, clock, find_values):
        self.decisions = 0
        self.preemptions = 0
        self.on_failure = lambda error: None
        self.feed = PlannerFeed(member, homes, view, clock, find_values)
        self._planner = self.feed.planner
        self._member = member
        self._view = view
        self._clock = clock
        self._wake = asyncio.Event()
        self._tasks = set()

    def wake(self):
        """Request a placement round soon."""
        self._wake.set()

    async def run(self):
        """Run placement rounds until cancelled."""
        while True:
            try:
                async with asyncio.timeout(MAX_IDLE_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                log.debug("placement_round_is_due")
            await asyncio.sleep(BATCH_DELAY_SECONDS)
            self._wake.clear()
            self.run_round()

    async def stop(self):
        """Cancel all placements in progress."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def run_round(self):
        """Make one plan and start to carry it out."""
        self.feed.update()
        plan = self._planner.plan(self._clock.now())
        by_job = {}
        for placement in plan.placements:
            by_job.setdefault(placement.job, []).append(placement)
        for job, placements in by_job.items():
            home, entry = self.feed.find(job)
            home.explain_waiting = self.explain_waiting
            self._begin_placements(home, entry, placements)
        self._preempt(plan.preemptions)
        self._report_blocked_jobs(plan)
        if plan.is_truncated:
            self.wake()

    def resume(self, home):
        """Resend the starts of a recovered home's assigned tasks."""
        home.explain_waiting = self.explain_waiting
        # With epoch 0 the shard's owner checks each assignment in the table.
        for shard, runs in home.list_assigned().items():
            self._spawn(self._start(home, shard, runs, epoch=0))

    def explain_waiting(self, job):
        """Return lines that explain why a job is pending, and its position."""
        return explain_waiting(self._planner, job, self._clock.now())

    def find_never_runnable(self, home, message):
        """Return a `Failure` if no listed worker could ever run a submitted job.

        A job that may have been accepted before is not refused, since it may be
        running. Returns None if the job can be accepted.
        """
        if not home.is_new(message.job):
            return None
        reason = self.feed.find_infeasible_reason(message.spec)
        if not reason:
            return None
        log.info("job_never_runnable", job=message.job, reason=reason)
        return Failure(
            code=ErrorCode.NEVER_RUNNABLE,
            step="check workers",
            peer=home.home,
            reason=reason,
        )

    def _begin_placements(self, home, entry, placements):
        runs_by_shard = {}
        for placement in placements:
            self.decisions += 1
            run = home.make_run(entry, placement.index, placement.worker)
            runs_by_shard.setdefault(placement.shard, []).append(run)
            entry.begin_placing(placement.index)
            self.feed.mark_placing(home, entry, run, placement.shard)
            self._view.reserve(placement.worker, run.template.resources)
            self._log_placement(home, placement, run)
        self._spawn(self._place_job(home, entry, runs_by_shard))

    def _log_placement(self, home, placement, run):
        epoch = self._member.epoch_of(placement.shard)
        log.info(
            "placement_decided",
            job=placement.job,
            index=placement.index,
            attempt=run.attempt,
            worker=placement.worker,
            candidates=placement.candidates,
            score=round(placement.score, 3),
            reason=placement.reason,
            shard=placement.shard,
            epoch=epoch,
        )
        home.record_decision(
            placement.job,
            f"task {placement.index} attempt {run.attempt} to {placement.worker} of "
            f"{placement.candidates} candidates: {placement.reason}, score "
            f"{placement.score:.3f}, epoch {epoch}",
        )

    def _preempt(self, preemptions):
        """Checkpoint and stop tasks to free capacity for other tasks."""
        by_shard = {}
        for preemption in preemptions:
            task = preemption.task
            self.preemptions += 1
            log.info(
                "preemption_decided",
                job=task.job,
                index=task.index,
                attempt=task.attempt,
                worker=task.worker,
                wanted_by=preemption.wanted_by,
                reason=preemption.reason,
            )
            home, _ = self.feed.find(task.job)
            home.record_decision(
                task.job,
                f"task {task.index} attempt {task.attempt} is preempted on "
                f"{task.worker}, after a checkpoint: {preemption.reason}",
            )
            key = make_run_key(task)
            by_shard.setdefault(task.shard, []).append(key)
        for shard, keys in by_shard.items():
            self._spawn(self._stop_runs(shard, keys))

    async def _stop_runs(self, shard, keys):
        message = StopRuns(shard=shard, runs=keys, checkpoint=True, reason="preempted")
        for _ in range(STOP_TRIES):
            answer = await self._member.call_owner(shard, message, CALL_TIMEOUT_SECONDS)
            if answer.is_ok():
                return
            await asyncio.sleep(START_RETRY_SECONDS)
        log.warning("preemption_failed", shard=shard, runs=len(keys))

    def _report_blocked_jobs(self, plan):
        """Set the notices of jobs that are late or that no worker can run."""
        for late in plan.late:
            _, entry = self.feed.find(late.job)
            seconds = late.finish_at - late.deadline_at
            entry.notice = (
                f"can't finish by its deadline: the predicted end is {seconds:.0f} s "
                "after it"
            )
            log.warning(
                "deadline_cannot_be_met",
                job=late.job,
                deadline_at=round(late.deadline_at, 3),
                predicted_finish_at=round(late.finish_at, 3),
            )
        for wait in plan.parked:
            _, entry = self.feed.find(wait.job)
            entry.notice = f"parked: {wait.reason}"
            log.warning("job_parked", job=wait.job, reason=wait.reason)
        for job in plan.unparked:
            _, entry = self.feed.find(job)
            entry.notice = ""
            log.info("job_unparked", job=job)

    async def _place_job(self, home, entry, runs_by_shard):
        """Reserve capacity for a job's runs, commit assignments and start them."""
        is_all_or_none = entry.record.spec.kind is WorkloadKind.ALL_AT_ONCE
        granted, epochs, denied = await self._reserve(runs_by_shard, is_all_or_none)
        if is_all_or_none and denied:
            await self._release(granted)
            denied += [run for runs in granted.values() for run in runs]
            granted = {}
        for run in denied:
            self._view.mark_denied(run.worker)
            entry.requeue(run.index)
        self.feed.mark_placement_ended(home, denied)
        if granted and not await self._commit(home, granted, epochs):
            await self._release(granted)
            for runs in granted.values():
                for run in runs:
                    entry.requeue(run.index)
                self.feed.mark_placement_ended(home, runs)
            granted = {}
        for shard, runs in granted.items():
            self.feed.mark_placement_ended(home, runs)
            self._spawn(self._start(home, shard, runs, epochs[shard]))
        if denied:
            self.wake()

    async def _reserve(self, runs_by_shard, is_all_or_none):
        """Return the granted runs and epochs by shard, and the denied runs."""
        shards = sorted(runs_by_shard)
        granted, epochs, denied = {}, {}, []
        answers = await asyncio.gather(
            *(
                self._call_reserve(shard, runs_by_shard[shard], is_all_or_none)
                for shard in shards
            )
        )
        for shard, answer in zip(shards, answers, strict=True):
            runs = runs_by_shard[shard]
            if answer.is_err():
                log.info("reservation_failed", reason=str(answer.unwrap_err()))
                denied.extend(runs)
                continue
            reply = answer.unwrap()
            epochs[shard] = reply.epoch
            for run, result in zip(runs, reply.results, strict=True):
                if result.granted:
                    granted.setdefault(shard, []).append(run)
                else:
                    log.info(
                        "reservation_denied",
                        job=run.job,
                        index=run.index,
                        worker=run.worker,
                        reason=result.reason,
                    )
                    denied.append(run)
        return granted, epochs, denied

    async def _call_reserve(self, shard, runs, is_all_or_none):
        message = ReserveRuns(
            shard=shard, hold_ms=RESERVATION_MS, runs=runs, all_or_none=is_all_or_none
        )
        return await self._member.call_owner(shard, message, CALL_TIMEOUT_SECONDS)

    async def _release(self, runs_by_shard):
        for shard, runs in runs_by_shard.items():
            message = ReleaseRuns(shard=shard, runs=[make_run_key(run) for run in runs])
            await self._member.call_owner(shard, message, CALL_TIMEOUT_SECONDS)

    async def _commit(self, home, granted, epochs):
        """Commit assignments if the shards still have the epochs of the reservations.

        Returns whether the assignments are committed.
        """
        for _ in range(COMMIT_TRIES):
            if any(self._member.epoch_of(s) != epochs[s] for s in granted):
                await self._member.refresh()
            if any(self._member.epoch_of(s) != epochs[s] for s in granted):
                return False
            answer = await home.commit_runs(granted)
            if answer.is_ok():
                return True
            if not isinstance(answer.unwrap_err(), Conflict):
                return False
            await self._member.refresh()
        return False

    async def _start(self, home, shard, runs, epoch):
        """Send starts to the shard's owner until it answers."""
        message = StartRuns(shard=shard, runs=runs, epoch=epoch)
        while True:
            answer = await self._member.call_owner(shard, message, CALL_TIMEOUT_SECONDS)
            if answer.is_ok():
                break
            failure = answer.unwrap_err()
            if failure.code is ErrorCode.NOT_OWNER:
                await self._member.refresh()
            await asyncio.sleep(START_RETRY_SECONDS)
        refusals = {item.run: item.reason for item in answer.unwrap().refused}
        refused = [
            (make_run_key(run), refusals[make_run_key(run)])
            for run in runs
            if make_run_key(run) in refusals
        ]
        if refused:
            log.info("start_refused_by_shard", shard=shard, runs=len(refused))
            await home.unassign(shard, answer.unwrap().epoch, refused)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        watch_task(task, self.on_failure)
