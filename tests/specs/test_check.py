import pytest

from specs import permits
from specs.check import SPECS, check_spec
from specs.kit import OPEN, Mutant, check
from specs.pages import is_in_step


def test_mutant_that_survives_is_reported():
    tame = Mutant("a flag that no action looks up", "anything", "nothing")
    spec = permits.SPEC
    faults, _ = check_spec(type(spec)(**{**vars(spec), "mutants": (tame,)}))
    assert len(faults) == 1
    assert "violates nothing" in faults[0]


def test_page_is_in_step_with_the_smallest_specification():
    faults, section = check_spec(permits.SPEC)
    assert faults == []
    assert is_in_step(section)
    assert not is_in_step(section.replace("2 gateways", "3 gateways"))


@pytest.mark.parametrize("spec", SPECS, ids=lambda spec: spec.name)
def test_first_mutant_has_a_trace_of_named_actions(spec):
    found = check(spec, frozenset([spec.mutants[0].flag]), is_full=False)
    assert found.violated == spec.mutants[0].breaks
    names = (*spec.actions, "worker", "the worker", "tick")
    assert all(step.startswith(names) for step in found.trace)


def test_open_faults_are_named_on_the_page():
    for spec in SPECS:
        for mutant in spec.mutants:
            note = f"{mutant.what}; **the code does so still**."
            assert is_in_step(note) == (mutant.fault == OPEN)
