"""Workers for tasks that start together."""

import numpy as np


def choose_rows(fleet, shape, count, capacity):
    """Return a row for each of `count` tasks, or None where not all fit.

    Parameters
    ----------
    fleet : Fleet
    shape : Shape
    count : int
    capacity : ndarray of shape (3, workers)
        Free amounts that may be used.
    """
    mask = shape.get_eligible(fleet)
    counts = np.where(mask, fleet.count_fitting(shape.amounts, capacity), 0)
    counts = np.minimum(counts, count)
    if counts.sum() < count:
        return None
    if shape.colocate != "none":
        counts = _colocate(fleet, shape, counts, count)
    order = _order_rows(fleet, shape, capacity)
    if shape.spread != "none":
        return _spread(fleet, shape, counts, order, count)
    rows = []
    for row in order:
        rows.extend([int(row)] * int(min(counts[row], count - len(rows))))
        if len(rows) == count:
            break
    return rows


def _order_rows(fleet, shape, capacity):
    """Return all rows, preferred and fullest first."""
    left = (
        (capacity[:2] - np.array(shape.amounts[:2])[:, None]) * fleet.inverse_total
    ).max(axis=0)
    return np.argsort(left - shape.get_static_score(fleet), kind="stable")


def _colocate(fleet, shape, counts, count):
    """Keep only the tightest rack or zone that holds all tasks, if there is one."""
    codes = fleet.get_codes(shape.colocate)
    sums = np.bincount(codes, counts)
    fitting = np.flatnonzero(sums >= count)
    if not len(fitting):
        return counts
    code = fitting[np.argmin(sums[fitting])]
    return np.where(codes == code, counts, 0)


def _spread(fleet, shape, counts, order, count):
    """Return rows taken in turn from each rack or zone."""
    codes = fleet.get_codes(shape.spread)
    slots = {}
    for row in order:
        slots.setdefault(codes[row], []).extend([int(row)] * int(counts[row]))
    turns = [
        (turn, code, row)
        for code, rows in slots.items()
        for turn, row in enumerate(rows[:count])
    ]
    return [row for _, _, row in sorted(turns)[:count]]
