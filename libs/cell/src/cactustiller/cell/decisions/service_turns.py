"""Turns of several services at something that each can use up; no I/O.

Answers a service with more waiting steps than there are approval calls: the steps of
another service would otherwise wait for all of them.
"""

from itertools import zip_longest


class ServiceTurns:
    """Order of the services by their latest turn."""

    def __init__(self):
        self._latest = {}
        self._count = 0

    def order(self, steps, find_service):
        """Return the steps with one of each service in turn.

        The service whose latest turn is longest ago comes first. Steps of one service
        keep their order.

        Parameters
        ----------
        steps : iterable of StepRun
        find_service : callable
            Returns the service of a step.
        """
        by_service = {}
        for step in steps:
            by_service.setdefault(find_service(step), []).append(step)
        services = sorted(by_service, key=lambda name: self._latest.get(name, 0))
        rounds = zip_longest(*(by_service[name] for name in services))
        return [step for turn in rounds for step in turn if step is not None]

    def record(self, service):
        """Record the turn of a service."""
        self._count += 1
        self._latest[service] = self._count
