"""Amounts of processor time, memory and accelerators."""

from pydantic import Field

from .record import Record


class Resources(Record):
    """Resources that a task requests or a worker provides.

    Parameters
    ----------
    cpu_millis : int
        Thousandths of a processor core.
    memory_mib : int
        Memory in MiB.
    accelerators : int
        Whole accelerator devices.
    """

    cpu_millis: int = Field(default=0, ge=0)
    memory_mib: int = Field(default=0, ge=0)
    accelerators: int = Field(default=0, ge=0)

    def __add__(self, other):
        return Resources.model_construct(
            cpu_millis=self.cpu_millis + other.cpu_millis,
            memory_mib=self.memory_mib + other.memory_mib,
            accelerators=self.accelerators + other.accelerators,
        )

    def __sub__(self, other):
        return Resources.model_construct(
            cpu_millis=self.cpu_millis - other.cpu_millis,
            memory_mib=self.memory_mib - other.memory_mib,
            accelerators=self.accelerators - other.accelerators,
        )

    def subtract_to_zero(self, other):
        """Return the resources without `other`, with no amount below 0."""
        rest = self - other
        return Resources.model_construct(
            cpu_millis=max(0, rest.cpu_millis),
            memory_mib=max(0, rest.memory_mib),
            accelerators=max(0, rest.accelerators),
        )

    def times(self, count):
        """Return the resources multiplied by `count`."""
        return Resources.model_construct(
            cpu_millis=self.cpu_millis * count,
            memory_mib=self.memory_mib * count,
            accelerators=self.accelerators * count,
        )

    def fits_within(self, other):
        """Return whether no amount exceeds that of `other`."""
        return (
            self.cpu_millis <= other.cpu_millis
            and self.memory_mib <= other.memory_mib
            and self.accelerators <= other.accelerators
        )


NO_RESOURCES = Resources()
