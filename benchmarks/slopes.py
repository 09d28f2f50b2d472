"""Least squares of costs against what drives them."""

from typing import NamedTuple

import numpy as np

DRIVERS = ("workers", "teams", "tasks", "starts", "changes", "changed_teams")
BASE = "base"


class Observation(NamedTuple):
    """Drivers of one interval and the mean cost of a daemon of each role.

    `starts` and `changes` are a second, `changed_teams` is changes a second times
    teams, since each change sends the whole tree; `costs` is {role: {cost: value}}.
    """

    size: int
    phase: str
    drivers: dict
    costs: dict


def fit_slopes(observations):
    """Return {role: {cost: {"base", drivers, "residual"}}}.

    Slopes below zero are noise, since no driver makes a daemon cheaper; they are
    left out one by one and the rest is fitted again. `residual` is the root mean
    square of what the fit does not explain.
    """
    roles = sorted({role for item in observations for role in item.costs})
    return {
        role: {
            cost: _fit(
                [item.drivers for item in observations],
                [item.costs[role][cost] for item in observations],
            )
            for cost in observations[0].costs[role]
        }
        for role in roles
    }


def predict(slopes, drivers):
    """Return the cost that slopes of one cost give for {driver: value}."""
    return slopes[BASE] + sum(slopes[name] * drivers[name] for name in DRIVERS)


def _fit(drivers, values):
    names = list(DRIVERS)
    values = np.array(values, dtype=float)
    while True:
        columns = [np.ones(len(values))]
        columns += [np.array([item[name] for item in drivers]) for name in names]
        matrix = np.stack(columns, axis=1)
        found, *_ = np.linalg.lstsq(matrix, values, rcond=None)
        # Compared by their largest effect, since the drivers' units differ.
        effects = found[1:] * matrix[:, 1:].max(axis=0)
        if not len(effects) or effects.min() >= 0:
            break
        del names[int(effects.argmin())]
    residual = float(np.sqrt(np.mean((matrix @ found - values) ** 2)))
    slopes = dict.fromkeys(DRIVERS, 0.0) | dict(zip(names, found[1:], strict=True))
    return {
        BASE: float(found[0]),
        **{name: float(value) for name, value in slopes.items()},
        "residual": residual,
    }
