"""Order keys of an owner's eligible steps, with a cache of what seldom changes."""

import heapq

from ..decisions.ordering import find_start_limits, make_order_key

# The cache is cleared when its size exceeds twice the number of eligible steps by more
# than this.
MAX_EXTRA_CACHED_STEPS = 256
# The steps without approval are sorted at most this often. Each answer to a call asks
# for the next step, and thousands of them may be waiting.
SORTED_VALID_SECONDS = 0.25


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
        # Steps without approval by service, the most urgent last; when they were
        # sorted, and the number of the step that had become eligible last.
        self._unasked = {}
        self._sorted_at = float("-inf")
        self._sorted_number = 0

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

    def find_without_approval(self, max_count, now, now_ms):
        """Return the most urgent steps that have to request approval.

        At most `max_count` of each service: the first of those that were sorted last,
        and those that have become eligible since.

        Parameters
        ----------
        max_count : int
        now : float
            Event loop time in seconds.
        now_ms : float
            Unix milliseconds.
        """
        if now >= self._sorted_at + SORTED_VALID_SECONDS:
            self._sort_unasked(now, now_ms)
        found = self._list_new()
        for steps in self._unasked.values():
            first = []
            while steps and len(first) < max_count:
                step = steps.pop()
                if self._engine.is_eligible(step) and self._is_unasked(step):
                    first.append(step)
            steps += reversed(first)
            found += first
        by_service = {}
        for entry in self.compute_keys(dict.fromkeys(found), now_ms):
            by_service.setdefault(entry[2].service, []).append(entry)
        return [
            step
            for entries in by_service.values()
            for _, step, _ in heapq.nsmallest(max_count, entries, key=_get_key)
        ]

    def _sort_unasked(self, now, now_ms):
        steps = filter(self._is_unasked, self._engine.iterate_eligible())
        keyed = sorted(self.compute_keys(steps, now_ms), key=_get_key, reverse=True)
        self._sorted_at, self._unasked = now, {}
        self._sorted_number = self._engine.latest_eligible_number
        for _, step, rules in keyed:
            self._unasked.setdefault(rules.service, []).append(step)

    def _list_new(self):
        """Return the steps without approval that became eligible since the sort."""
        found = []
        for step in self._engine.iterate_latest_eligible():
            if step.eligible_number <= self._sorted_number:
                break
            if self._is_unasked(step):
                found.append(step)
        return found

    def _is_unasked(self, step):
        return (
            step.approved is None
            and not step.has_approval_call
            and self._engine.find_rules(step.job).needs_approval
        )

    def _drop_outdated(self):
        """Clear the cache after a change of rules, or if it is too large.

        Entries of steps that are no longer eligible accumulate.
        """
        version = self._engine.desired.version
        max_size = 2 * self._engine.eligible_count + MAX_EXTRA_CACHED_STEPS
        if self._version != version or len(self._cache) > max_size:
            self._cache.clear()
            self._version = version


def _get_key(entry):
    return entry[0]
