"""Concurrent changes, lost answers, outages and network cuts drawn by hypothesis."""

import asyncio

import looptime
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.ownership.builders import Daemons, set_weight

NAMES = ("g1", "g2", "g3")
IN_FORCE_SECONDS = 10.0
NAME = st.sampled_from(NAMES)


class SettingsMachine(RuleBasedStateMachine):
    """Three daemons that share a table service and change the settings."""

    @initialize()
    def start(self):
        self.loop = looptime.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.daemons = Daemons()
        self.accepted = []
        self.versions = dict.fromkeys(NAMES, 0)
        for name in NAMES:
            self.run(self.daemons.add(name))

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def find(self, name):
        return self.daemons.daemons[name]

    def note(self, result):
        if result.is_ok():
            self.accepted.append((self.loop.time(), result.unwrap()))

    @rule(name=NAME, weight=st.integers(1, 9), expects=st.booleans())
    def change(self, name, weight, expects):
        daemon = self.find(name)
        expected = daemon.replica.version if expects else None
        self.note(
            self.run(daemon.editor.change(set_weight(weight), name, "", expected))
        )

    @rule(names=st.permutations(NAMES), weight=st.integers(1, 9))
    def race(self, names, weight):
        changes = [
            self.find(name).editor.change(set_weight(weight + n), name)
            for n, name in enumerate(names[:2])
        ]

        async def run_both():
            return await asyncio.gather(*changes)

        for result in self.run(run_both()):
            self.note(result)

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count):
        self.daemons.table.lost_answers = count

    @rule(is_down=st.booleans())
    def set_outage(self, is_down):
        self.daemons.table.is_down = is_down

    @rule(name=NAME, is_cut=st.booleans())
    def cut_table(self, name, is_cut):
        self.find(name).table.is_cut = is_cut

    @rule(name=NAME, is_cut=st.booleans())
    def cut_from_peers(self, name, is_cut):
        self.daemons.cut_peers(name, is_cut)

    @rule(name=NAME, is_hidden=st.booleans())
    def hide(self, name, is_hidden):
        self.daemons.hide(name, is_hidden)

    @rule(name=NAME)
    def split(self, name):
        """Leave the table service to one daemon that its peers cannot reach."""
        self.set_outage(False)
        for other in NAMES:
            self.cut_table(other, other != name)
            self.cut_from_peers(other, other == name)

    @rule(name=NAME, weight=st.integers(1, 9))
    def change_while_split(self, name, weight):
        self.split(name)
        self.change(name, weight, False)
        self.wait(12.0)

    @rule(seconds=st.sampled_from([0.5, 3.0, 12.0, 60.0]))
    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))

    @invariant()
    def versions_never_revert(self):
        for name in NAMES if hasattr(self, "daemons") else ():
            version = self.find(name).replica.version
            assert version >= self.versions[name]
            self.versions[name] = version

    @invariant()
    def accepted_change_is_in_force_or_its_holder_has_stopped(self):
        if not hasattr(self, "daemons"):
            return
        due = [
            version
            for at, version in self.accepted
            if self.loop.time() - at >= IN_FORCE_SECONDS
        ]
        for version in self.run(self.read_fresh_versions()):
            assert version >= max(due, default=0)

    async def read_fresh_versions(self):
        replicas = [self.find(name).replica for name in NAMES]
        return [replica.version for replica in replicas if replica.is_fresh]

    def teardown(self):
        if hasattr(self, "daemons"):
            self.run(self.daemons.stop())
            self.loop.close()


SettingsMachine.TestCase.settings = settings(
    max_examples=20,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestSettings = SettingsMachine.TestCase
