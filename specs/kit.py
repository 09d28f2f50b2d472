"""What every specification is made of, and how it is checked."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from minicheck import Protocol, check_liveness, check_safety

MAX_STATES = 200_000
OPEN = "open"
MENDED = "mended"


@dataclass(frozen=True)
class Mutant:
    """Change of a specification that the checker must find wrong.

    Parameters
    ----------
    flag : str
        Name by which the specification's actions look the change up.
    breaks : str
        Property that the change violates.
    what : str
        What the code would do, in a sentence.
    fault : str
        `OPEN` if the code does this, `MENDED` if it did before the model found it.
    """

    flag: str
    breaks: str
    what: str
    fault: str = ""


@dataclass(frozen=True)
class Spec:
    """Specification of one protocol.

    Parameters
    ----------
    name, title, sizes : str
        `sizes` states the bounds within which the check is exhaustive.
    initial : NamedTuple
        First state; its fields name the state's parts.
    list_steps : callable
        Returns the pairs of action label and next state of a state and a
        frozenset of flags.
    properties : dict of str to callable
        Predicates that every reachable state satisfies.
    goal : callable
        Predicate of states, one of which every state must be able to reach.
    actions : dict of str to str
        Code that each action stands for, by the first word of its label.
    mutants : tuple of Mutant
    outside : tuple of str
        What the specification leaves out.
    """

    name: str
    title: str
    sizes: str
    initial: tuple
    list_steps: Callable
    properties: dict
    goal: Callable
    actions: dict
    mutants: tuple = ()
    outside: tuple = ("what other specifications state",)


class Verdict(NamedTuple):
    """Result of a check; `trace` is the shortest to the first violation found."""

    holds: bool
    states: int
    depth: int
    seconds: float
    violated: str = ""
    trace: tuple = ()


RECOVERABLE = "every state can reach the goal"


def check(spec, flags=frozenset(), is_full=True):
    """Check a specification with some flags set.

    With `is_full` the whole state space is swept and recovery from every state is
    checked; otherwise the sweep ends soon after the first violation.
    """
    started = time.perf_counter()
    sweep = _Sweep(spec, flags, is_full)
    result = check_safety(sweep.make_protocol(), max_states=MAX_STATES)
    for name, found in result["properties"].items():
        if found["holds"] is False:
            return sweep.conclude(started, name, found["counterexample"])
        if found["holds"] is None:
            raise RuntimeError(f"{spec.name}: {result['incomplete_reason']}")
    lasting = check_liveness(sweep.make_protocol())
    if lasting["holds"] is None:
        raise RuntimeError(f"{spec.name}: {lasting['incomplete_reason']}")
    if not lasting["holds"]:
        return sweep.conclude(started, RECOVERABLE, lasting["counterexample"])
    return sweep.conclude(started)


class _Sweep:
    """One sweep of a specification, which notes depths on its way."""

    def __init__(self, spec, flags, is_full):
        self._spec = spec
        self._flags = flags
        self._is_full = is_full
        self._is_ending = False
        self._depths = {spec.initial: 0}

    def make_protocol(self):
        """Return the `Protocol` for the checker."""
        kind = type(self._spec.initial)
        properties = {
            name: lambda fields, holds=holds: holds(kind(**fields))
            for name, holds in self._spec.properties.items()
        }
        return Protocol(
            name=self._spec.name,
            candidate=False,
            fields=kind._fields,
            initial=self._spec.initial,
            transitions=self._expand,
            invariants=properties,
            goal=lambda fields: self._spec.goal(kind(**fields)),
        )

    def conclude(self, started, violated="", trace=()):
        """Return the `Verdict` of this sweep."""
        return Verdict(
            holds=not violated,
            states=len(self._depths),
            depth=max(self._depths.values()),
            seconds=time.perf_counter() - started,
            violated=violated,
            trace=tuple(step["label"] for step in trace if step["label"]),
        )

    def _expand(self, state):
        if self._is_ending:
            return []
        if not self._is_full and self._is_violated(state):
            self._is_ending = True
            return []
        steps = self._spec.list_steps(state, self._flags)
        depth = self._depths[state] + 1
        for _, following in steps:
            self._depths.setdefault(following, depth)
        return steps

    def _is_violated(self, state):
        return not all(holds(state) for holds in self._spec.properties.values())
