"""Comparison of estimators of interfering pairs of images on synthetic histories.

For each kind of history: the time until a true pair is known, how many true pairs are
known at the end, and how many false ones were ever named in one history.
"""

import logging
import math
from statistics import median

import structlog

from cactustiller.cell.decisions.interference_estimates import (
    LEARN_EFFECT,
    MIN_PLACES,
    MIN_SAMPLES,
    PairEstimates,
)
from tests.cell.interference_model import IMAGES, HistoryShape, play_history

SEEDS = range(20)
SECONDS = 120
PAIR = (IMAGES[0], IMAGES[1])
TRUE_PAIRS = {PAIR: 1.8, (IMAGES[2], IMAGES[5]): 1.4}
SHAPES = {
    "steps of 8, rough estimates": HistoryShape(TRUE_PAIRS),
    "single tasks, rough estimates": HistoryShape(TRUE_PAIRS, group_size=1),
    "single tasks, good estimates": HistoryShape(
        TRUE_PAIRS, group_size=1, estimate_spread=0.1
    ),
    "slow workers with an image of their own": HistoryShape(
        TRUE_PAIRS, bound_image=IMAGES[7]
    ),
    "the same, single tasks, good estimates": HistoryShape(
        TRUE_PAIRS, bound_image=IMAGES[7], group_size=1, estimate_spread=0.1
    ),
    "slow images, no pair": HistoryShape(slow_images={IMAGES[3]: 3.0}),
}


class ContrastEstimator:
    """Names a pair if the means with and without the other image differ.

    The alternative to `PairEstimates`: samples are compared with all others of their
    image (`is_grouped` false) or of their step, without regard to the workers.
    """

    def __init__(self, deviations, is_grouped):
        self.known = set()
        self._deviations = deviations
        self._is_grouped = is_grouped
        self._sums = {}
        self._places = {}

    def add_group(self, image, samples, now):
        """Add the samples and name the pairs of their image that differ."""
        center = median(s.value for s in samples) if self._is_grouped else 0.0
        others = {name for sample in samples for name in sample.exposures}
        for sample in samples:
            value = max(-1.0, min(1.0, sample.value - center))
            for other in IMAGES:
                fraction = sample.exposures.get(other, 0.0)
                if 0.0 < fraction < 0.5:
                    continue
                key = image, other, fraction >= 0.5
                count, total, squares = self._sums.get(key, (0, 0.0, 0.0))
                sums = count + 1, total + value, squares + value * value
                self._sums[key] = sums
                if fraction >= 0.5:
                    self._places.setdefault((image, other), set()).add(sample.place)
        for other in others:
            self._review(image, other)

    def _review(self, image, other):
        with_other = self._sums.get((image, other, True))
        without = self._sums.get((image, other, False))
        if not with_other or not without:
            return
        if min(with_other[0], without[0]) < MIN_SAMPLES:
            return
        if len(self._places[image, other]) < MIN_PLACES:
            return
        first, first_error = _describe(with_other)
        second, second_error = _describe(without)
        error = math.sqrt(first_error + second_error)
        if first - second >= max(LEARN_EFFECT, self._deviations * error):
            self.known.add((image, other))


def _describe(sums):
    """Return the mean and the variance of the mean."""
    count, total, squares = sums
    mean = total / count
    return mean, max(0.0, squares / count - mean * mean) / (count - 1)


ESTIMATORS = {
    "effects": PairEstimates,
    "contrast in steps, 3 sd": lambda: ContrastEstimator(3.0, True),
    "contrast in steps, 4.5 sd": lambda: ContrastEstimator(4.5, True),
    "contrast, 4.5 sd": lambda: ContrastEstimator(4.5, False),
}


def compare(shape, make_estimator):
    """Return times to learn of each true pair, and the number of false pairs."""
    times = {pair: [] for pair in shape.slowdowns}
    false_count = 0
    for seed in SEEDS:
        learned = play_history(make_estimator(), shape, seed, SECONDS)
        for pair, found in times.items():
            if pair in learned:
                found.append(learned[pair])
        false_count += len(learned.keys() - shape.slowdowns.keys())
    return times, false_count


def main():
    """Print a table."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING)
    )
    for title, shape in SHAPES.items():
        print(f"\n{title}")
        for name, make_estimator in ESTIMATORS.items():
            times, false_count = compare(shape, make_estimator)
            cells = [
                f"{shape.slowdowns[pair]}x: {len(found)}/{len(SEEDS)}"
                f" median {median(found) if found else math.nan:.1f} s"
                f" worst {max(found, default=math.nan):.1f} s"
                for pair, found in times.items()
            ]
            false_rate = false_count / len(SEEDS)
            print(f"  {name:26} {'; '.join(cells)}; false {false_rate:.2f}")


if __name__ == "__main__":
    main()
