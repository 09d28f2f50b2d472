"""Turns decisions into reservations, commits and starts."""

import asyncio

import structlog

from cactustiller.model import ErrorCode, Resources, WorkloadKind
from cactustiller.model.messages import ReleaseRuns, ReserveRuns, StartRuns
from cactustiller.platform import Conflict
from cactustiller.policy import (
    Snapshot,
    TeamSnapshot,
    WaitingJob,
    plan_placements,
)

from .runs import key_of
from .supervision import watch_task

SETTLE_SECONDS = 0.01
IDLE_SECONDS = 1.0
HOLD_MS = 10_000
CALL_SECONDS = 2.0
START_RETRY_SECONDS = 0.3
COMMIT_TRIES = 5

log = structlog.get_logger(__name__)


class Dispatcher:
    """Placement loop over all homes of a member.

    Parameters
    ----------
    member : Member
    homes : dict of PartitionId to Home
        The member's homes, kept up to date by the scheduler.
    view : CellView
    clock : WallClock
    find_values : callable
        Returns the `ResolvedValues` of a team and queue; None if not known.
    """

    def __init__(self, member, homes, view, clock, find_values):
        self.decisions = 0
        self.on_failure = lambda error: None
        self._member = member
        self._homes = homes
        self._view = view
        self._clock = clock
        self._find_values = find_values
        self._wake = asyncio.Event()
        self._tasks = set()

    def wake(self):
        """Ask for a round soon."""
        self._wake.set()

    async def run(self):
        """Place work until cancelled."""
        while True:
            try:
                async with asyncio.timeout(IDLE_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                log.debug("placement_round_is_due")
            await asyncio.sleep(SETTLE_SECONDS)
            self._wake.clear()
            self.run_round()

    async def stop(self):
        """Stop all placements under way."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def run_round(self):
        """Decide once and start to carry the decisions out."""
        waiting = {
            entry.job: (home, entry)
            for home in self._homes.values()
            if home.is_recovered
            for entry in home.list_waiting()
            if self._find_entry_values(entry) is not None
        }
        if not waiting:
            return
        snapshot = self._make_snapshot(waiting)
        plan = plan_placements(snapshot)
        for wait in plan.waits:
            home, _ = waiting[wait.job]
            home.explanations[wait.job] = [
                f"waits at position {wait.position}: {wait.reason}"
            ]
        by_job = {}
        for placement in plan.placements:
            by_job.setdefault(placement.job, []).append(placement)
        for job, placements in by_job.items():
            home, entry = waiting[job]
            self._begin(home, entry, placements)

    def resume(self, home):
        """Send the starts of a recovered home's assigned tasks again."""
        for shard, runs in home.list_assigned().items():
            self._spawn(self._start(home, shard, runs, epoch=0))

    def _make_snapshot(self, waiting):
        teams = {}
        jobs = []
        now = self._clock.now()
        for home, entry in waiting.values():
            spec = entry.record.spec
            values = self._find_entry_values(entry)
            if spec.team not in teams:
                teams[spec.team] = _make_team(home, spec.team, values)
            jobs.append(_make_waiting(entry, values, now))
        return Snapshot(now, self._view.list_workers(), jobs, teams)

    def _find_entry_values(self, entry):
        spec = entry.record.spec
        return self._find_values(spec.team, spec.queue)

    def _begin(self, home, entry, placements):
        runs_by_shard = {}
        for placement in placements:
            self.decisions += 1
            run = home.make_run(entry, placement.index, placement.worker)
            runs_by_shard.setdefault(placement.shard, []).append(run)
            entry.take(placement.index)
            self._view.hold(placement.worker, run.template.resources)
            self._log(home, placement, run)
        self._spawn(self._carry_out(home, entry, runs_by_shard))

    def _log(self, home, placement, run):
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
        lines = home.explanations.setdefault(placement.job, [])
        if lines and lines[-1].startswith("waits"):
            lines.clear()
        lines.append(
            f"task {placement.index} attempt {run.attempt} to {placement.worker}: "
            f"{placement.reason}, score {placement.score:.3f}, epoch {epoch}"
        )

    async def _carry_out(self, home, entry, runs_by_shard):
        """Reserve, commit and start the runs of one job."""
        is_whole = entry.record.spec.kind is WorkloadKind.ALL_AT_ONCE
        granted, epochs, denied = await self._reserve(runs_by_shard, is_whole)
        if is_whole and denied:
            await self._release(granted)
            denied += [run for runs in granted.values() for run in runs]
            granted = {}
        for run in denied:
            self._view.note_denied(run.worker)
            entry.put_back(run.index)
        if granted and not await self._commit(home, granted, epochs):
            await self._release(granted)
            for runs in granted.values():
                for run in runs:
                    entry.put_back(run.index)
            granted = {}
        for shard, runs in granted.items():
            self._spawn(self._start(home, shard, runs, epochs[shard]))
        if denied:
            self.wake()

    async def _reserve(self, runs_by_shard, is_whole):
        """Return granted runs and epochs by shard, and the denied runs."""
        shards = sorted(runs_by_shard)
        granted, epochs, denied = {}, {}, []
        answers = await asyncio.gather(
            *(
                self._call_reserve(shard, runs_by_shard[shard], is_whole)
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

    async def _call_reserve(self, shard, runs, is_whole):
        message = ReserveRuns(
            shard=shard, hold_ms=HOLD_MS, runs=runs, all_or_none=is_whole
        )
        return await self._member.call_owner(shard, message, CALL_SECONDS)

    async def _release(self, runs_by_shard):
        for shard, runs in runs_by_shard.items():
            message = ReleaseRuns(shard=shard, runs=[key_of(run) for run in runs])
            await self._member.call_owner(shard, message, CALL_SECONDS)

    async def _commit(self, home, granted, epochs):
        """Commit assignments under the epochs of their reservations."""
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
        """Tell the shard's owner to start runs, until it has answered."""
        message = StartRuns(shard=shard, runs=runs, epoch=epoch)
        while True:
            answer = await self._member.call_owner(shard, message, CALL_SECONDS)
            if answer.is_ok():
                break
            failure = answer.unwrap_err()
            if failure.code is ErrorCode.NOT_OWNER:
                await self._member.refresh()
            await asyncio.sleep(START_RETRY_SECONDS)
        refusals = {item.run: item.reason for item in answer.unwrap().refused}
        refused = [
            (key_of(run), refusals[key_of(run)])
            for run in runs
            if key_of(run) in refusals
        ]
        if refused:
            log.info("start_refused_by_shard", shard=shard, runs=len(refused))
            await home.unassign(shard, answer.unwrap().epoch, refused)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        watch_task(task, self.on_failure)


def _make_team(home, team, values):
    used, count = home.find_usage(team)
    return TeamSnapshot(
        team=team,
        share_weight=values.share_weight,
        limit=Resources(
            cpu_millis=values.limit_cpu_millis,
            memory_mib=values.limit_memory_mib,
            accelerators=values.limit_accelerators,
        ),
        limit_tasks=values.limit_tasks,
        used=used,
        used_tasks=count,
    )


def _make_waiting(entry, values, now):
    record = entry.record
    deadline = record.spec.deadline_seconds
    return WaitingJob(
        job=record.job,
        spec=record.spec,
        indices=entry.list_ready(now),
        submitted_at=record.submitted_at,
        deadline_at=record.submitted_at + deadline if deadline else 0.0,
        spread=values.spread,
        ageing_seconds=values.ageing_seconds,
    )
