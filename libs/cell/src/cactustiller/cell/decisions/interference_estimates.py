"""Estimates of how much tasks of one image slow down tasks of another; no I/O.

Answers workers that are shared by tasks of many images, of which few harm each other,
while workers differ in speed and the estimated durations of jobs are rough.

A pair is learned when its effect is large and certain, and dropped when it has vanished
or has not been seen for some time.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from ..reporting.events import Event, log_event
from .interference_effects import (
    Baseline,
    Effect,
    get_bounded,
    learn_from_group,
    put_bounded,
)

MAX_IMAGES = 512
MAX_WORKERS = 2048
MAX_PAIRS = 4096
MAX_HOLDS = 512
# Variances and half-lives of effects without evidence. Speeds of 0.55 to 1.2 are a
# standard deviation of 0.4, and temporary slowness takes seconds.
WORKER_VARIANCE = 0.16
WORKER_HALF_LIFE_SECONDS = 20.0
PAIR_VARIANCE = 0.12
PAIR_HALF_LIFE_SECONDS = 300.0
# A pair is known once its effect is at least 15 % and this many standard deviations,
# and it was seen often enough in enough places. It is dropped below 7 %; the distance
# between the two limits keeps an effect near one of them from changing state often.
LEARN_EFFECT = 0.14
DROP_EFFECT = 0.07
LEARN_DEVIATIONS = 4.5
MIN_SAMPLES = 8
MIN_PLACES = 3
# An image counts as present at a sample if it ran for this fraction of its time.
PRESENT_FRACTION = 0.5
# A known pair is dropped after this time without evidence. Placement keeps known pairs
# apart, so evidence ends once a pair is known; the time doubles each time that a
# dropped pair is learned again, so that a lasting pair is tried ever less often.
HOLD_SECONDS = 60.0
MAX_HOLD_SECONDS = 480.0
SWEEP_SECONDS = 1.0


class KnownPair(NamedTuple):
    """Pair of images of which the second slows down the first.

    `effect` is a logarithm, `confidence` the effect in standard deviations.
    """

    affected: str
    interfering: str
    effect: float
    confidence: float
    samples: int


@dataclass(slots=True)
class PairState:
    """Effect of a pair of images with its evidence."""

    effect: Effect
    samples: int = 0
    places: set = field(default_factory=set)
    seen_at: float = 0.0
    is_known: bool = False
    hold_seconds: float = HOLD_SECONDS


class PairEstimates:
    """Estimates for pairs of images, learned from groups of comparable samples.

    Attributes
    ----------
    known : dict of (str, str) to PairState
        Known pairs, by affected and interfering image.
    version : int
        Increases whenever a pair is learned or dropped.
    """

    def __init__(self):
        self.known = {}
        self.version = 0
        self._images = OrderedDict()
        self._workers = OrderedDict()
        self._pairs = OrderedDict()
        self._holds = OrderedDict()
        self._next_sweep = 0.0

    @property
    def size(self):
        """Number of entries kept."""
        tables = (self._images, self._workers, self._pairs, self._holds)
        return sum(map(len, tables))

    def list_known(self):
        """Return the `KnownPair` of each known pair."""
        return [
            KnownPair(
                *pair,
                state.effect.mean,
                state.effect.mean / math.sqrt(state.effect.variance),
                state.samples,
            )
            for pair, state in self.known.items()
        ]

    def add_group(self, image, samples, now):
        """Learn from samples of one image that share their expected value.

        Parameters
        ----------
        image : str
        samples : list of Sample
        now : float
            Event loop time in seconds.
        """
        baseline = get_bounded(self._images, image, Baseline, MAX_IMAGES)
        rows = [self._find_effects(image, sample, now) for sample in samples]
        learn_from_group(baseline, [sample.value for sample in samples], rows)
        for sample in samples:
            self._count_evidence(image, sample, now)
        for other in {name for sample in samples for name in sample.exposures}:
            self._review((image, other), now)

    def sweep(self, now):
        """Drop the known pairs without evidence; does nothing more than once a second.

        Must be called regularly while pairs are known.
        """
        if now < self._next_sweep:
            return
        self._next_sweep = now + SWEEP_SECONDS
        for pair, state in list(self.known.items()):
            if now - state.seen_at > state.hold_seconds:
                longer = min(2 * state.hold_seconds, MAX_HOLD_SECONDS)
                put_bounded(self._holds, pair, longer, MAX_HOLDS)
                self._drop(pair, state, "no evidence", now)

    def _find_effects(self, image, sample, now):
        """Return the effects on a sample with their weights."""
        effects = [
            self._find_pair(image, other, now).effect for other in sample.exposures
        ]
        row = list(zip(effects, sample.exposures.values(), strict=True))
        worker = get_bounded(
            self._workers,
            sample.worker,
            lambda: Effect(WORKER_VARIANCE, WORKER_HALF_LIFE_SECONDS, now),
            MAX_WORKERS,
        )
        row.append((worker, 1.0))
        for effect, _ in row:
            effect.decay(now)
        return row

    def _find_pair(self, image, other, now):
        state = self._pairs.get((image, other))
        if state is not None:
            self._pairs.move_to_end((image, other))
            return state
        if len(self._pairs) >= MAX_PAIRS:
            oldest, state = self._pairs.popitem(last=False)
            if state.is_known:
                # Known pairs are kept apart, so they are rarely used.
                self._pairs[oldest] = state
                oldest, state = self._pairs.popitem(last=False)
            if state.is_known:
                self._drop(oldest, state, "too many pairs", now)
        state = PairState(Effect(PAIR_VARIANCE, PAIR_HALF_LIFE_SECONDS, now))
        state.hold_seconds = self._holds.get((image, other), HOLD_SECONDS)
        self._pairs[image, other] = state
        return state

    def _count_evidence(self, image, sample, now):
        for other, fraction in sample.exposures.items():
            if fraction < PRESENT_FRACTION:
                continue
            state = self._find_pair(image, other, now)
            state.samples += 1
            state.seen_at = now
            if len(state.places) < MIN_PLACES:
                state.places.add(sample.place)

    def _review(self, pair, now):
        """Learn or drop a pair after its estimate has changed."""
        state = self._pairs.get(pair)
        if state is None:
            return
        mean, variance = state.effect.mean, state.effect.variance
        if state.is_known:
            if mean < DROP_EFFECT:
                self._holds.pop(pair, None)
                self._drop(pair, state, "no effect", now)
        elif (
            mean >= LEARN_EFFECT
            and mean >= LEARN_DEVIATIONS * math.sqrt(variance)
            and state.samples >= MIN_SAMPLES
            and len(state.places) >= MIN_PLACES
        ):
            state.is_known = True
            self.known[pair] = state
            self.version += 1
            _log(Event.INTERFERENCE_LEARNED, pair, state)

    def _drop(self, pair, state, reason, now):
        del self.known[pair]
        self._pairs.pop(pair, None)
        self.version += 1
        unseen = round(now - state.seen_at, 1)
        _log(Event.INTERFERENCE_DROPPED, pair, state, reason=reason, unseen=unseen)


def _log(event, pair, state, **fields):
    effect = state.effect
    log_event(
        event,
        affected=pair[0],
        interfering=pair[1],
        slowdown=round(math.exp(effect.mean), 2),
        confidence=round(effect.mean / math.sqrt(effect.variance), 1),
        samples=state.samples,
        hold_seconds=state.hold_seconds,
        **fields,
    )
