"""Checks every specification and that each of its mutants is found wrong."""

import sys
import time
from typing import Annotated

import typer

from . import cells, gangs, handins, leases, permits, replicas, runs
from .kit import OPEN, RECOVERABLE, check
from .pages import format_section, is_in_step, write_page

SPECS = (
    runs.SPEC,
    leases.SPEC,
    gangs.SPEC,
    replicas.SPEC,
    permits.SPEC,
    cells.SPEC,
    handins.SPEC,
)


def check_spec(spec):
    """Check a specification and its mutants; print what was found.

    Returns
    -------
    list of str
        What is wrong; empty if all is as it should be.
    str
        The page's section.
    """
    verdict = check(spec)
    faults = [] if verdict.holds else [f"{spec.name} violates {verdict.violated}"]
    _print_verdict(spec, verdict)
    findings = []
    for mutant in spec.mutants:
        found = check(spec, frozenset([mutant.flag]), is_full=False)
        findings.append((mutant, found))
        if found.violated != mutant.breaks:
            faults.append(
                f"mutant '{mutant.flag}' of {spec.name} violates "
                f"{found.violated or 'nothing'} instead of: {mutant.breaks}"
            )
        _print_mutant(mutant, found)
    return faults, format_section(spec, verdict, findings)


def check_all(
    write_traces: Annotated[bool, typer.Option(help="Renew the page.")] = False,
    only: Annotated[str, typer.Option(help="Name of one specification.")] = "",
):
    """Check the specifications; the exit code is 1 if anything is wrong."""
    started = time.perf_counter()
    faults, sections = [], []
    for spec in SPECS:
        if only not in ("", spec.name):
            continue
        found, section = check_spec(spec)
        faults += found
        sections.append(section)
        if not write_traces and not is_in_step(section):
            faults.append(f"docs/design/model.md is out of step with {spec.name}")
    if write_traces and not faults and not only:
        write_page(sections)
    for fault in faults:
        print(f"FAULT: {fault}")
    seconds = time.perf_counter() - started
    print(f"{len(sections)} specifications, {len(faults)} faults, {seconds:.1f} s")
    sys.exit(1 if faults else 0)


def _print_verdict(spec, verdict):
    print(f"{spec.name}: {spec.title} ({spec.sizes})")
    print(
        f"  {verdict.states} states, depth {verdict.depth}, {verdict.seconds:.1f} s: "
        + ("holds" if verdict.holds else f"VIOLATED: {verdict.violated}")
    )
    for name in (*spec.properties, RECOVERABLE):
        print(f"  property: {name}")
    for step in verdict.trace:
        print(f"    {step}")


def _print_mutant(mutant, found):
    if found.holds:
        print(f"  mutant SURVIVES: {mutant.flag}")
        return
    if mutant.fault == OPEN:
        print(f"  OPEN FAULT of the code: {mutant.what}")
    print(
        f"  mutant found wrong: {mutant.flag}: {found.violated}, "
        f"{len(found.trace)} steps, {found.states} states"
    )


if __name__ == "__main__":
    typer.run(check_all)
