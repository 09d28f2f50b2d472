"""Log lines of one owner's term: what it took to load the cell, and why it ended."""

import asyncio

from ..reporting.events import Event, log_event


class TermLog:
    """Logs the beginning, the end of loading and the loss of a term.

    Parameters
    ----------
    record : OwnerRecord
        The owner's row as claimed.
    """

    def __init__(self, record):
        self._record = record
        self._started_at = asyncio.get_running_loop().time()
        self._has_served = False

    def log_takeover(self):
        """Log that the term begins."""
        log_event(Event.TAKEOVER, epoch=self._record.epoch, member=self._record.member)

    def log_loaded(self, engine):
        """Log that the owner has loaded the jobs and answers calls."""
        self._has_served = True
        log_event(
            Event.STARTED,
            what="cell",
            epoch=self._record.epoch,
            jobs=len(engine.jobs),
            workers=len(engine.workers),
            seconds=self._measure_since(self._started_at),
        )

    def log_loss(self, reason, renewed_at):
        """Log that another member owns the cell.

        Parameters
        ----------
        reason : str
        renewed_at : float
            Time of the latest renewal of the owner's row, in loop time.
        """
        log_event(
            Event.OWNERSHIP_LOST,
            epoch=self._record.epoch,
            reason=reason,
            has_served=self._has_served,
            term_seconds=self._measure_since(self._started_at),
            renewed_seconds_ago=self._measure_since(renewed_at),
        )

    def _measure_since(self, moment):
        return round(asyncio.get_running_loop().time() - moment, 3)
