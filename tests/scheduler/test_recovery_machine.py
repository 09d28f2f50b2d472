"""Schedulers' real code under random faults.

SOAK_MINUTES sets the length of a longer run, SOAK_SEED its first seed.
"""

import logging
import os
import time

import looptime
import structlog
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from cactustiller.model import Outcome
from tests.scheduler.builders import LIMITED_TEAM, MemoryCell, build_spec

EXAMPLES = 15
SOAK_EXAMPLES = 20
STEPS = 25
RECOVERY_SECONDS = 400.0
DAEMONS = st.integers(0, 2)
WORKERS = st.sampled_from(["w00", "w01", "w10", "w11", "w20", "w21"])


class RecoveryMachine(RuleBasedStateMachine):
    """Jobs of two teams on three schedulers and six workers."""

    def __init__(self):
        super().__init__()
        self.loop = looptime.new_event_loop(start=0, _enabled=True)
        self.cell = None
        self.accepted = set()
        self.refused = set()
        self.has_lost_worker = False

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    @initialize(honours_epochs=st.booleans())
    def start(self, honours_epochs):
        async def create():
            self.cell = MemoryCell(honours_epochs=honours_epochs)
            await self.cell.start()

        self.run(create())

    @rule(
        team=st.sampled_from([LIMITED_TEAM, "free"]),
        kind=st.sampled_from(["batch", "batch", "allAtOnce"]),
        tasks=st.integers(1, 4),
        run_seconds=st.sampled_from([0.2, 3.0, 20.0]),
    )
    def submit(self, team, kind, tasks, run_seconds):
        job = f"j{len(self.cell.teams)}"
        spec = build_spec(team, kind, tasks, run_seconds)
        answer = self.run(self.cell.submit(job, spec))
        if answer.is_ok():
            self.accepted.add(job)
        elif answer.unwrap_err().outcome is Outcome.NOT_RUN:
            self.refused.add(job)

    @precondition(lambda self: self.accepted)
    @rule(data=st.data())
    def cancel(self, data):
        job = data.draw(st.sampled_from(sorted(self.accepted)))
        self.run(self.cell.cancel(job))

    @rule(seconds=st.sampled_from([0.003, 0.02, 0.5, 3.0, 12.0]))
    def advance(self, seconds):
        self.run(self.sleep(seconds))

    async def sleep(self, seconds):
        until = self.loop.time() + seconds
        await self.cell.wait_for(lambda: self.loop.time() >= until, seconds + 1)

    @rule(number=DAEMONS)
    def kill(self, number):
        daemon = self.cell.daemons[number]
        if daemon.is_running:
            self.run(daemon.kill())

    @rule(number=DAEMONS)
    def revive(self, number):
        daemon = self.cell.daemons[number]
        if daemon.is_running:
            daemon.resume()
        else:
            self.run(self.start_daemon(daemon))

    async def start_daemon(self, daemon):
        daemon.start()
        await self.sleep(0.01)

    @rule(number=DAEMONS)
    def pause(self, number):
        daemon = self.cell.daemons[number]
        if daemon.is_running:
            daemon.pause()

    @rule(is_down=st.booleans())
    def switch_table(self, is_down):
        self.cell.table.is_down = is_down

    @rule(count=st.integers(1, 4))
    def lose_answers(self, count):
        self.cell.table.lose_next = count

    @rule(count=st.integers(1, 4))
    def drop_requests(self, count):
        self.cell.table.drop_next = count

    @rule(worker=WORKERS, is_down=st.booleans())
    def switch_worker(self, worker, is_down):
        self.has_lost_worker = True
        change = (
            self.cell.workers.down.add if is_down else self.cell.workers.down.discard
        )
        change(worker)

    @rule(worker=WORKERS)
    def restart_worker(self, worker):
        self.has_lost_worker = True
        self.run(self.restart(worker))

    async def restart(self, worker):
        self.cell.workers.workers[worker].restart()

    @rule(worker=WORKERS, seconds=st.sampled_from([0.5, 3.0, 9.0]))
    def delay_starts(self, worker, seconds):
        self.has_lost_worker = True
        self.cell.workers.late_seconds[worker] = seconds

    @rule()
    def deliver_starts(self):
        self.cell.workers.late_seconds.clear()

    @invariant()
    def is_safe(self):
        if self.cell is not None:
            self.run(self.check())

    async def check(self):
        report = self.cell.assert_safe()
        assert self.has_lost_worker or report.succeeded_twice == 0
        started = {event.job for event in self.cell.workers.history.show()}
        assert not started & self.refused

    def teardown(self):
        try:
            if self.cell is not None:
                self.run(self.recover())
                self.is_safe()
        finally:
            if self.cell is not None:
                self.run(self.cell.stop())
            self.loop.close()

    async def recover(self):
        """End every fault; then every accepted job must end."""
        cell = self.cell
        cell.table.is_down = False
        cell.table.lose_next = cell.table.drop_next = 0
        cell.workers.down.clear()
        cell.workers.late_seconds.clear()
        for daemon in cell.daemons:
            if daemon.is_running:
                daemon.resume()
            else:
                daemon.start()
        await cell.wait_for(
            lambda: all(self.is_over(job) for job in self.accepted), RECOVERY_SECONDS
        )

    def is_over(self, job):
        entry = self.cell.find_entry(job)
        return entry is not None and entry.is_over


def build_settings(examples):
    return settings(
        max_examples=examples,
        stateful_step_count=STEPS,
        deadline=None,
        database=None,
        derandomize=examples == EXAMPLES,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )


def test_recovery_under_random_faults():
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    minutes = float(os.environ.get("SOAK_MINUTES", "0"))
    if not minutes:
        run_state_machine_as_test(RecoveryMachine, settings=build_settings(EXAMPLES))
        return
    number = int(os.environ.get("SOAK_SEED", "1"))
    until = time.monotonic() + minutes * 60
    while time.monotonic() < until:
        print(f"soak seed {number}", flush=True)
        seeded = seed(number)(RecoveryMachine)
        run_state_machine_as_test(seeded, settings=build_settings(SOAK_EXAMPLES))
        number += 1
