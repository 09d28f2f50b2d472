"""One member's copy of the operator's desired state, and how recent it is."""

import asyncio

from ..records.desired import DesiredState
from ..reporting.events import Event, log_event
from .followers import Follower

# A member whose desired state was confirmed longer ago, by the store or by an
# announcement of the owner, reports not ready and accepts no work, since an API key may
# have been withdrawn meanwhile.
MAX_AGE_SECONDS = 2.5
# Time for the confirmation after a pause of the process; callers wait for 3 s.
CONFIRM_TIMEOUT_SECONDS = 0.5
CONFIRM_CHECK_SECONDS = 0.02


class DesiredReplica:
    """Follows the row of the desired state; its version only rises.

    Parameters
    ----------
    store : RowStore
    dependencies : Dependencies
        Location and decoder of the row.
    on_change : callable
        Called without arguments after each change.

    Attributes
    ----------
    state : DesiredState
        State in force; its version is 0 before the first read.
    value : bytes
        Row from which it was decoded.
    evacuated_zones : frozenset of str
        Availability zones that the operator has evacuated.
    """

    def __init__(self, store, dependencies, on_change):
        self.state = DesiredState()
        self.value = b""
        self.evacuated_zones = frozenset()
        self._key = dependencies.desired_key
        self._decode = dependencies.decode_desired
        self._decode_evacuation = dependencies.decode_evacuation
        self._on_change = on_change
        self._announced_at = float("-inf")
        self._follower = Follower(
            store,
            dependencies.desired_table,
            dependencies.desired_part,
            self._on_rows,
        )
        self.start = self._follower.start
        self.stop = self._follower.stop
        self.wait_until_read = self._follower.wait_until_read

    @property
    def age_seconds(self):
        """Seconds since the state was last confirmed."""
        confirmed_at = max(self._follower.refreshed_at, self._announced_at)
        return asyncio.get_running_loop().time() - confirmed_at

    def is_confirmed(self):
        """Return whether the state in force was confirmed recently."""
        return self.state.version > 0 and self.age_seconds <= MAX_AGE_SECONDS

    async def wait_until_confirmed(self):
        """Wait briefly for a confirmation if it is overdue; return whether it came.

        A process that was paused holds requests and a state from before the pause.
        Returns at once if there is no state yet or the store is known not to answer.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + CONFIRM_TIMEOUT_SECONDS
        while not self.is_confirmed() and self._is_confirmation_due(deadline):
            await asyncio.sleep(CONFIRM_CHECK_SECONDS)
        return self.is_confirmed()

    def _is_confirmation_due(self, deadline):
        has_state = self.state.version > 0 and not self._follower.is_unavailable
        return has_state and asyncio.get_running_loop().time() < deadline

    def mark_announced(self, version):
        """Record an owner's announcement; return whether its version is newer."""
        self._announced_at = asyncio.get_running_loop().time()
        return version > self.state.version

    def apply_value(self, value):
        """Apply the value of the row if it can be decoded and is newer."""
        try:
            desired = self._decode(value)
        except ValueError as error:
            log_event(Event.ENTRY_UNREADABLE, what="desired state", reason=str(error))
            return
        if desired.version <= self.state.version:
            return
        log_event(
            Event.DESIRED_STATE_APPLIED,
            version=desired.version,
            before=self.state.version,
            queues=len(desired.queues),
            keys=len(desired.keys),
        )
        self.state, self.value = desired, value
        self._on_change()

    def _on_rows(self, rows):
        value = rows.get(self._key)
        if value is not None:
            self.apply_value(value)
        zones = frozenset(filter(None, map(self._decode_evacuation, rows)))
        if zones != self.evacuated_zones:
            self.evacuated_zones = zones
            self._on_change()
