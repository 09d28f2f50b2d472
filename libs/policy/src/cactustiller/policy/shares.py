"""Weighted dominant-resource shares and what each team is owed."""

from math import exp

import numpy as np

LEVEL_STEPS = 30
SMALLEST = 1e-12


def find_entitlements(weights, demands):
    """Return each team's fair dominant share of the cell.

    The level of all teams rises in proportion to their weights until each has what
    it asks for or a resource that it needs is used up.

    Parameters
    ----------
    weights : ndarray of shape (teams,)
    demands : ndarray of shape (teams, 3)
        Use and waiting work as parts of the cell's capacity.
    """
    wanted = demands.max(axis=1, initial=0.0)
    directions = demands / np.maximum(wanted, SMALLEST)[:, None]
    granted = np.zeros(len(weights))
    rising = wanted > 0
    level = 0.0
    for _ in range(demands.shape[1]):
        if not rising.any():
            break
        level = _raise_level(weights, wanted, directions, granted, rising, level)
        granted[rising] = np.minimum(weights * level, wanted)[rising]
        load = directions.T @ granted
        used_up = load >= 1.0 - 1e-6
        rising &= (granted < wanted) & ~(directions[:, used_up] > 0).any(axis=1)
    return granted


def _raise_level(weights, wanted, directions, granted, rising, low):
    """Return the highest level at which no resource is exceeded."""
    high = float((wanted[rising] / weights[rising]).max())
    for step in range(LEVEL_STEPS):
        level = high if step == 0 else (low + high) / 2
        amounts = np.where(rising, np.minimum(weights * level, wanted), granted)
        if (directions.T @ amounts <= 1.0 + 1e-9).all():
            if step == 0:
                return high
            low = level
        else:
            high = level
    return low


class ShareLedger:
    """Remembers over a window what teams were short of their fair share.

    The same observations give the same ledger, so every member that sees the usage
    digests keeps one and a takeover loses nothing.
    """

    def __init__(self):
        self.owed = {}
        self.entitled = {}
        self._at = None

    def advance(self, now, window_seconds, teams, capacity):
        """Account for the time since the last call.

        Parameters
        ----------
        now : float
        window_seconds : float
            Time constant with which the past is forgotten.
        teams : dict of TeamId to (weight, used, waiting)
            Amounts as sequences of three numbers.
        capacity : ndarray of shape (3,)
        """
        names = sorted(teams)
        elapsed = 0.0 if self._at is None else max(0.0, now - self._at)
        self._at = now
        if not names:
            self.owed, self.entitled = {}, {}
            return
        weights = np.array([teams[name][0] for name in names], dtype=float)
        used = np.array([teams[name][1] for name in names]) / capacity
        waiting = np.array([teams[name][2] for name in names]) / capacity
        entitled = find_entitlements(weights, used + waiting)
        kept = exp(-elapsed / window_seconds)
        short = (entitled - used.max(axis=1)) * (1.0 - kept)
        before = np.array([self.owed.get(name, 0.0) for name in names])
        owed = before * kept + short
        self.owed = dict(zip(names, owed.tolist(), strict=True))
        self.entitled = dict(zip(names, entitled.tolist(), strict=True))
