"""Order keys of an owner's eligible steps, with a cache of what seldom changes."""

from ..decisions.ordering import find_start_limits, make_order_key

# The cache is cleared when its size exceeds twice the number of eligible steps by more
# than this.
MAX_EXTRA_CACHED_STEPS = 256


class StepOrder:
    """Computes order keys; keeps the rules and `StartLimits` of the steps.

    Parameters
    ----------
    engine : Engine
    """

    def __init__(self, engine):
        self._engine = engine
        self._cache = {}
        self._version = 0

    def compute_keys(self, steps, now_ms):
        """Return ``(OrderKey, step, QueueRules)`` for each eligible step.

        Parameters
        ----------
        steps : iterable of StepRun
        now_ms : float
            Unix milliseconds.
        """
        self._drop_outdated()
        keyed = []
        for step in steps:
            cached = self._cache.get(step)
            if cached is None:
                rules = self._engine.find_rules(step.job)
                cached = rules, find_start_limits(step, rules)
                self._cache[step] = cached
            rules, limits = cached
            keyed.append((make_order_key(step, rules, limits, now_ms), step, rules))
        return keyed

    def _drop_outdated(self):
        """Clear the cache after a change of rules, or if it is too large.

        Entries of steps that are no longer eligible accumulate.
        """
        version = self._engine.desired.version
        max_size = 2 * self._engine.eligible_count + MAX_EXTRA_CACHED_STEPS
        if self._version != version or len(self._cache) > max_size:
            self._cache.clear()
            self._version = version
