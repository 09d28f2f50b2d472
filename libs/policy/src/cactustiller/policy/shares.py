"""Weighted dominant-resource shares and what each team is owed."""

from math import exp

import numpy as np

BISECTION_STEPS = 30
EPSILON = 1e-12


def compute_fair_shares(weights, demands):
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
    directions = demands / np.maximum(wanted, EPSILON)[:, None]
    granted = np.zeros(len(weights))
    unsaturated = wanted > 0
    level = 0.0
    for _ in range(demands.shape[1]):
        if not unsaturated.any():
            break
        level = _raise_level(weights, wanted, directions, granted, unsaturated, level)
        granted[unsaturated] = np.minimum(weights * level, wanted)[unsaturated]
        load = directions.T @ granted
        used_up = load >= 1.0 - 1e-6
        unsaturated &= (granted < wanted) & ~(directions[:, used_up] > 0).any(axis=1)
    return granted


def _raise_level(weights, wanted, directions, granted, unsaturated, low):
    """Return the highest level at which no resource is exceeded."""
    high = float((wanted[unsaturated] / weights[unsaturated]).max())
    for step in range(BISECTION_STEPS):
        level = high if step == 0 else (low + high) / 2
        amounts = np.where(unsaturated, np.minimum(weights * level, wanted), granted)
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
        self.deficits = {}
        self.fair_shares = {}
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
            self.deficits, self.fair_shares = {}, {}
            return
        weights = np.array([teams[name][0] for name in names], dtype=float)
        used = np.array([teams[name][1] for name in names]) / capacity
        waiting = np.array([teams[name][2] for name in names]) / capacity
        fair_shares = compute_fair_shares(weights, used + waiting)
        decay = exp(-elapsed / window_seconds)
        shortfalls = (fair_shares - used.max(axis=1)) * (1.0 - decay)
        before = np.array([self.deficits.get(name, 0.0) for name in names])
        deficits = before * decay + shortfalls
        self.deficits = dict(zip(names, deficits.tolist(), strict=True))
        self.fair_shares = dict(zip(names, fair_shares.tolist(), strict=True))
