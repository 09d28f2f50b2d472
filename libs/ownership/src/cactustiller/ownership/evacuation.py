"""Evacuated availability zones of a cell, as one daemon enforces them."""

import asyncio

from cactustiller.settings import has_path, resolve

STALE_REASON = "the settings, which name the evacuated zones, may be out of date"


class ZoneEvacuations:
    """Zones that the settings in force on a daemon evacuate.

    Parameters
    ----------
    replica : SettingsReplica
    site, cell : str
        Path of the cell in the settings tree.
    """

    def __init__(self, replica, site, cell):
        self._replica = replica
        self._site = site
        self._cell = cell
        self._version = 0
        self._zones = frozenset()

    @property
    def version(self):
        """Settings version in force, 0 if none."""
        return self._replica.version

    @property
    def zones(self):
        """Frozen set of the zones that the last known version evacuates."""
        if self._version != self._replica.version:
            self._version = self._replica.version
            self._zones = self._read_zones()
        return self._zones

    @property
    def is_stale(self):
        """Whether a zone may have been evacuated without this daemon's knowledge.

        A cell whose settings were never written has not evacuated any zone.
        """
        was_never_written = self._replica.is_missing and not self._replica.version
        return not (self._replica.is_fresh or was_never_written)

    def export(self):
        """Return a gauge: 1 by evacuated zone, so that the sum counts the members."""
        return dict.fromkeys(sorted(self.zones), 1)

    def find_reason(self, zone):
        """Return why nothing may start in a zone, or an empty string."""
        return f"zone {zone} is being evacuated" if zone in self.zones else ""

    def find_refusal(self, zone):
        """Return why nothing may start in a zone now, or an empty string.

        Unlike `find_reason`, refuses every zone while the settings may be out of date.
        """
        return self.find_reason(zone) or (STALE_REASON if self.is_stale else "")

    async def refresh(self):
        """Read the settings as of now or later, from the table service if possible."""
        await self._replica.poll_since(asyncio.get_running_loop().time())

    def subscribe(self, on_change):
        """Call `on_change` with the evacuated and the restored zones of each change.

        Zones that are evacuated already count as a change if no version was in force.
        Returns the subscription, which can be disposed.
        """
        known = self.zones

        def compare(_change):
            nonlocal known
            before, known = known, self.zones
            if before != known:
                on_change(known - before, before - known)

        return self._replica.changes.subscribe(compare)

    def _read_zones(self):
        tree = self._replica.tree
        if tree is None or not has_path(tree, f"{self._site}/{self._cell}"):
            return frozenset()
        return frozenset(resolve(tree, self._site, self._cell).evacuated_zones)
