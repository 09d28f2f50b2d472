"""Evacuation of availability zones: no new task starts on their workers; no I/O.

Answers an operator who empties a zone while the cell is busy: what runs there goes on
to its end, and what waits is placed on the other zones from the next round on.
"""

from ..reporting.events import Event, log_event


class ZoneEvacuations:
    """Zones that the operator has evacuated, applied to the workers of a cell.

    Attributes
    ----------
    zones : frozenset of str
    """

    def __init__(self):
        self.zones = frozenset()

    def apply(self, zones, workers):
        """Exclude the workers of evacuated zones, and take back those of others.

        Parameters
        ----------
        zones : frozenset of str
            Zones that are evacuated now.
        workers : iterable of Worker
        """
        changed = zones ^ self.zones
        if not changed:
            return
        self.zones = zones
        counts = dict.fromkeys(sorted(changed), 0)
        running = dict.fromkeys(changed, 0)
        for worker in workers:
            zone = worker.info.zone
            if zone in changed:
                self.mark(worker)
                counts[zone] += 1
                running[zone] += len(worker.runs)
        for zone, count in counts.items():
            event = Event.ZONE_EVACUATED if zone in zones else Event.ZONE_RESTORED
            log_event(event, zone=zone, workers=count, runs=running[zone])

    def mark(self, worker):
        """Set whether a worker's zone is evacuated."""
        worker.is_evacuated = worker.info.zone in self.zones
