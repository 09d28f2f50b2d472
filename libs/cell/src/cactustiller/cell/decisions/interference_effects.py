"""Linear model of what slows tasks down: workers and images beside them; no I/O.

Answers cells in which workers differ in speed and estimated durations are rough, so
that a slow task says little about the tasks beside it.

The logarithm of a measurement is modelled as the sum of the affected image's baseline,
the worker's effect and an effect of each image that ran beside it. Each effect is a
mean and a variance, updated as in a Kalman filter without covariances.
"""

import math
from dataclasses import dataclass
from statistics import median
from typing import NamedTuple

# Three in a hundred tasks take seven times as long as the others of their step (1.95 as
# a natural logarithm). Deviations from the middle of a group are clipped to a number of
# standard deviations within these limits, and so are errors of the model.
MIN_CLIPPED = 0.5
MAX_CLIPPED = 1.0
CLIP_DEVIATIONS = 3.0
MAX_ERROR_DEVIATIONS = 2.5
# Initial variances: of an image's baseline, of the difference of a group of samples
# from it (estimates are off by up to 90 %), and of a sample from its group.
BASELINE_VARIANCE = 4.0
INITIAL_SPREAD = 0.5
INITIAL_NOISE = 0.06
MIN_VARIANCE = 0.01
# A baseline must be able to follow its image. With less, its error stays in the effects
# of workers and pairs.
MIN_BASELINE_VARIANCE = 0.03
NOISE_RATE = 0.1


class Sample(NamedTuple):
    """Measurement of a task of some image.

    Attributes
    ----------
    value : float
        Logarithm of the time taken or the tail latency, relative to what is expected.
    worker : tuple
        Worker and its incarnation.
    exposures : dict of str to float
        Fraction of the time during which each image ran beside the task.
    place : object
        Samples of the same place are not independent evidence.
    """

    value: float
    worker: tuple
    exposures: dict
    place: object


@dataclass(slots=True)
class Effect:
    """Normally distributed effect that returns to 0 without evidence."""

    prior: float
    half_life: float
    updated_at: float
    mean: float = 0.0
    variance: float = 0.0

    def __post_init__(self):
        self.variance = self.prior

    def decay(self, now):
        """Apply the time without evidence."""
        kept = 0.5 ** ((now - self.updated_at) / self.half_life)
        self.updated_at = now
        self.mean *= kept
        self.variance = self.prior - (self.prior - self.variance) * kept


@dataclass(slots=True)
class Baseline:
    """Typical measurement of an image, and how much groups and samples vary."""

    mean: float = 0.0
    variance: float = BASELINE_VARIANCE
    spread: float = INITIAL_SPREAD
    noise: float = INITIAL_NOISE


def learn_from_group(baseline, values, rows):
    """Update a baseline and effects by samples that share their expected value.

    Differences within the group show effects without regard to the expected value,
    which may be far off. The mean of the group is compared with other groups of the
    image, and counts the less the more these differ.

    Parameters
    ----------
    baseline : Baseline
    values : list of float
    rows : list of list of (Effect, float)
        Effects on each value with their weights, decayed to the present.
    """
    middle = median(values)
    limit = CLIP_DEVIATIONS * math.sqrt(baseline.noise)
    limit = max(MIN_CLIPPED, min(MAX_CLIPPED, limit))
    values = [middle + _clip(value - middle, limit) for value in values]
    count = len(values)
    center = sum(values) / count
    # Mean weight of each effect in the group, by its id.
    means = {}
    for row in rows:
        for effect, weight in row:
            _, total = means.get(id(effect), (effect, 0.0))
            means[id(effect)] = effect, total + weight / count
    if count > 1:
        for value, row in zip(values, rows, strict=True):
            weights = {key: -mean for key, (_, mean) in means.items()}
            for effect, weight in row:
                weights[id(effect)] += weight
            terms = [(means[key][0], weight) for key, weight in weights.items()]
            error = _update(terms, value - center, baseline.noise)
            change = error * error - baseline.noise
            baseline.noise = max(MIN_VARIANCE, baseline.noise + NOISE_RATE * change)
    _compare_groups(baseline, list(means.values()), center, count)


def _compare_groups(baseline, terms, center, count):
    """Learn from the mean of a group against the image's baseline."""
    predicted = baseline.mean + sum(effect.mean * mean for effect, mean in terms)
    noise = baseline.spread + baseline.noise / count
    is_first = baseline.variance >= BASELINE_VARIANCE
    total = baseline.variance + noise
    total += sum(effect.variance * mean * mean for effect, mean in terms)
    error = _clip(center - predicted, MAX_ERROR_DEVIATIONS * math.sqrt(total))
    baseline.mean += baseline.variance / total * error
    baseline.variance -= baseline.variance**2 / total
    baseline.variance = max(baseline.variance, MIN_BASELINE_VARIANCE)
    if is_first:
        return
    for effect, mean in terms:
        gain = effect.variance * mean / total
        effect.mean += gain * error
        effect.variance -= gain * effect.variance * mean
    change = error * error - noise
    baseline.spread = max(MIN_VARIANCE, baseline.spread + NOISE_RATE * change)


def _update(terms, value, noise):
    """Update effects by a value that is their weighted sum; return the error."""
    error = value
    total = noise
    for effect, weight in terms:
        error -= effect.mean * weight
        total += effect.variance * weight * weight
    error = _clip(error, MAX_ERROR_DEVIATIONS * math.sqrt(total))
    for effect, weight in terms:
        gain = effect.variance * weight / total
        effect.mean += gain * error
        effect.variance -= gain * effect.variance * weight
    return error


def get_bounded(table, key, make, max_count):
    """Return an entry, created if missing; the least recently used may be evicted."""
    entry = table.get(key)
    if entry is None:
        entry = make()
    put_bounded(table, key, entry, max_count)
    return entry


def put_bounded(table, key, entry, max_count):
    """Set an entry; the least recently used is evicted beyond `max_count`."""
    table[key] = entry
    table.move_to_end(key)
    if len(table) > max_count:
        table.popitem(last=False)


def _clip(value, limit):
    return max(-limit, min(limit, value))
