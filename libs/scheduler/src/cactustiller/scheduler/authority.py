"""What the owner of a shard may do now."""

import asyncio

import structlog

from .sessions import OUTAGE_GRANT_SECONDS

log = structlog.get_logger(__name__)


class ShardAuthority:
    """Epoch and time limits of one shard's owner.

    Starts end with the owner's lease, except on workers that refuse older epochs:
    there a new owner fences the former one by its first call. Renewals go on for
    `OUTAGE_GRANT_SECONDS` without the table service; a new owner waits that long
    before it gives up on the runs of a worker that it cannot reach.

    Parameters
    ----------
    shard : PartitionId
    epoch : int
    member : Member
    """

    def __init__(self, shard, epoch, member):
        self.shard = shard
        self.epoch = epoch
        self.is_fenced = False
        self._member = member

    @property
    def owner(self):
        """Id of the owning member."""
        return self._member.member

    def latest_start(self, info, now):
        """Return the loop time until which runs may start on a worker."""
        if self.is_fenced or self._member.is_fenced:
            return now
        if info.honours_epochs:
            return self._member.committer.confirmed_at + OUTAGE_GRANT_SECONDS
        return self._member.lease_until

    def may_renew(self):
        """Return whether leases of running tasks may be extended now."""
        if self.is_fenced or self._member.is_fenced:
            return False
        now = asyncio.get_running_loop().time()
        return now < self._member.committer.confirmed_at + OUTAGE_GRANT_SECONDS

    def mark_fenced(self, reason):
        """Record that a worker has seen a higher epoch."""
        if not self.is_fenced:
            log.warning("shard_fenced", shard=self.shard, reason=reason)
        self.is_fenced = True
