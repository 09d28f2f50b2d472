"""Resource amounts as a tuple of integers."""

from typing import NamedTuple


class Amounts(NamedTuple):
    """Amounts of a `Resources` as a tuple, which is cheaper to compare and add."""

    cpu_millis: int = 0
    memory_mib: int = 0
    accelerators: int = 0

    @classmethod
    def of(cls, resources):
        """Return the amounts of a `Resources`."""
        return cls(resources.cpu_millis, resources.memory_mib, resources.accelerators)

    def fits_within(self, other):
        """Return whether no amount exceeds that of `other`."""
        return self[0] <= other[0] and self[1] <= other[1] and self[2] <= other[2]

    def count_fits(self, needed, max_count):
        """Return how many times `needed` fits within these, at most `max_count`."""
        for amount, available in zip(needed, self, strict=True):
            if amount:
                max_count = min(max_count, available // amount)
        return max(0, max_count)

    def plus(self, other, count=1):
        """Return the sum of these amounts and `count` times `other`."""
        return Amounts(
            self[0] + count * other[0],
            self[1] + count * other[1],
            self[2] + count * other[2],
        )


NO_AMOUNTS = Amounts()
