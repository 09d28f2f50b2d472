"""Placement policies, one module each, looked up by the kind of a job.

Importing the package registers each `PlacementPolicy` that its modules declare.
"""

from importlib import import_module
from pkgutil import iter_modules

from .base import PlacementPolicy

for _module in iter_modules(__path__):
    import_module(f"{__name__}.{_module.name}")

_POLICIES = {policy.kind: policy() for policy in PlacementPolicy.__subclasses__()}


def get_policy(kind):
    """Return the `PlacementPolicy` of a `WorkloadKind`."""
    return _POLICIES[kind]


__all__ = ["PlacementPolicy", "get_policy"]
