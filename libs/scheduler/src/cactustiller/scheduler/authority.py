"""Authority of a shard's owner to start runs and to renew leases."""

import asyncio

import structlog

from .sessions import OUTAGE_GRANT_SECONDS

log = structlog.get_logger(__name__)


class ShardAuthority:
    """Epoch and time limits of one shard's owner.

    The owner may start runs until its lease expires. On workers that honour epochs it
    may do so for `OUTAGE_GRANT_SECONDS` after the last confirmed commit, since the
    first call of a new owner makes them refuse the older epoch, which is the fencing
    token. The owner renews leases for `OUTAGE_GRANT_SECONDS` without the table service;
    a new owner waits as long before it ends the runs of an unreachable worker.

    Parameters
    ----------
    shard : PartitionId
    epoch : int
    member : Member
    evacuations : ZoneEvacuations
    """

    def __init__(self, shard, epoch, member, evacuations):
        self.shard = shard
        self.epoch = epoch
        self.is_fenced = False
        self._member = member
        self._evacuations = evacuations

    @property
    def owner(self):
        """Id of the member that owns the shard."""
        return self._member.member

    def find_evacuation(self, zone):
        """Return the evacuation that closes a zone to new runs, or an empty string."""
        return self._evacuations.find_reason(zone)

    @property
    def is_stale(self):
        """Whether a zone may have been evacuated without this owner's knowledge."""
        return self._evacuations.is_stale

    def latest_start(self, info, now):
        """Return the loop time until which the owner may start runs on a worker.

        It is `now` in an evacuated zone, and while the settings may be out of date.
        """
        if self.is_fenced or self._member.is_fenced:
            return now
        if self._evacuations.find_refusal(info.zone):
            return now
        if info.honours_epochs:
            return self._member.committer.confirmed_at + OUTAGE_GRANT_SECONDS
        return self._member.lease_until

    def may_renew(self):
        """Return whether the owner may renew leases of runs now."""
        if self.is_fenced or self._member.is_fenced:
            return False
        now = asyncio.get_running_loop().time()
        return now < self._member.committer.confirmed_at + OUTAGE_GRANT_SECONDS

    def mark_fenced(self, reason):
        """Record that a worker refused a call because it has seen a higher epoch."""
        if not self.is_fenced:
            log.warning("shard_fenced", shard=self.shard, reason=reason)
        self.is_fenced = True
