"""Rows of partition ownership and of members in the table service."""

from pydantic import Field

from cactustiller.model import MemberId, MemberRecord, PartitionId, Record
from cactustiller.ports import decode_row

OWNERSHIP_KEY = "ownership"
MEMBER_PREFIX = "member/"


class Owner(Record):
    """Owner of a partition; `epoch` increases with each assignment of an owner."""

    member: MemberId
    incarnation: str
    epoch: int = Field(ge=1)


class Ownership(Record):
    """Row ``ownership``: the owner of every partition."""

    owners: dict[PartitionId, Owner]

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


def decode_member(row, reported):
    """Return the `MemberRecord` in a row, ``None`` if malformed; see `decode_row`."""

    def make_key(record):
        return member_key(record.member)

    return decode_row(row, MemberRecord, "refresh members", make_key, reported)


def decode_ownership(row, reported):
    """Return the `Ownership` in its row, ``None`` if malformed; see `decode_row`.

    Without the epochs in the row no partition may be assigned. The caller therefore
    keeps the last version, on which each commit of an owner is conditional.
    """
    return decode_row(row, Ownership, "refresh ownership", reported=reported)


def differs_ignoring_token(previous, record):
    """Return whether a member's record differs from the previous one, if any."""
    if previous is None:
        return True
    return previous.with_changes(token="") != record.with_changes(token="")
