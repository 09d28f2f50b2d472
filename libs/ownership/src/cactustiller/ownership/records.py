"""Rows of partition ownership and of members in the table service."""

from pydantic import Field

from cactustiller.model import MemberId, PartitionId, Record

OWNERSHIP_KEY = "ownership"
MEMBER_PREFIX = "member/"


class Owner(Record):
    """Owner of a partition; `epoch` increases with each assignment of an owner."""

    member: MemberId
    incarnation: str
    epoch: int


class Ownership(Record):
    """Row ``ownership``: the owner of every partition."""

    owners: dict[PartitionId, Owner] = Field(default_factory=dict)

    def list_owned(self, member):
        """Return the partitions that a member owns, sorted."""
        return sorted(
            partition
            for partition, owner in self.owners.items()
            if owner.member == member
        )

    def assign(self, moves):
        """Return a copy with new owners of some partitions, at incremented epochs.

        Parameters
        ----------
        moves : dict of PartitionId to MemberRecord
        """
        owners = dict(self.owners)
        for partition, record in moves.items():
            previous = owners.get(partition)
            owners[partition] = Owner(
                member=record.member,
                incarnation=record.incarnation,
                epoch=previous.epoch + 1 if previous else 1,
            )
        return Ownership(owners=owners)


def member_key(member):
    """Return the key of a member's row."""
    return f"{MEMBER_PREFIX}{member}"
