"""Arithmetic of docs/CAPACITY.md, worked out from the recorded slopes."""

import json
from pathlib import Path

import typer

from .slopes import BASE, DRIVERS, predict

DOCS = Path(__file__).parent.parent / "docs"
PAGE = DOCS / "CAPACITY.md"
RECORD = DOCS / "capacity-slopes.json"
BEGIN = "<!-- worked out by benchmarks.capacity: begin -->"
END = "<!-- worked out by benchmarks.capacity: end -->"
SECONDS_PER_DAY = 86_400
CHANGES_PER_DAY = 700
DESIGN_WORKERS = 770
DESIGN_TEAMS = 340
DESIGN = {
    "workers": DESIGN_WORKERS,
    "teams": DESIGN_TEAMS,
    "tasks": 19_000,
    "starts": 56,
    "changes": CHANGES_PER_DAY / SECONDS_PER_DAY,
    "changed_teams": CHANGES_PER_DAY / SECONDS_PER_DAY * DESIGN_TEAMS,
}
COSTS = {
    "core_percent": "processor, % of a core",
    "resident_mib": "resident memory, MiB",
    "bytes": "control, bytes/s",
    "peer_messages": "messages between daemons /s",
    "table_reads": "table reads /s",
    "table_writes": "table transactions /s",
    "table_records": "rows written /s",
}
TARGETS = {"core_percent": 1.1, "resident_mib": 128, "bytes": 10_000}
HEADINGS = {
    "workers": "770 workers",
    "teams": "340 teams",
    "tasks": "19,000 tasks",
    "starts": "56 starts/s",
    "changes": "700 changes a day",
    "changed_teams": "their 340-team tree",
}
LOADED_PHASE = "starts"
NEGLIGIBLE = 1e-9
TABLE_COSTS = ("table_reads", "table_writes", "table_records")


def render(record):
    """Return the page's tables as Markdown for a record of `benchmarks.control`."""
    lines = []
    for role in sorted(record["slopes"]):
        lines += _render_role(record, role)
    lines += _render_table_load(record)
    return "\n".join(lines)


def compute_total(record, role, cost):
    """Return the cost of one daemon at the design size."""
    return predict(record["slopes"][role][cost], DESIGN)


def find_measured(record, role, cost):
    """Return the cost as measured at 770 workers under load, None if it was not."""
    for item in record["observations"]:
        if item["size"] == DESIGN_WORKERS and item["phase"] == LOADED_PHASE:
            return item["costs"][role][cost]
    return None


def _render_role(record, role):
    parts = " | ".join(HEADINGS[name] for name in DRIVERS)
    lines = [
        f"### One {role}",
        "",
        f"| cost | base | {parts} | sum | measured | target | margin |",
        "|---" * (len(DRIVERS) + 6) + "|",
    ]
    for cost, label in COSTS.items():
        slopes = record["slopes"][role][cost]
        shares = [_format(slopes[BASE])]
        shares += [_format(slopes[name] * DESIGN[name]) for name in DRIVERS]
        total = compute_total(record, role, cost)
        target = TARGETS.get(cost)
        margin = f"{target / total:.2f}" if target else "-"
        cells = [
            label,
            *shares,
            f"**{_format(total)}**",
            _format(find_measured(record, role, cost)),
            _format(target),
            margin,
        ]
        lines.append(f"| {' | '.join(cells)} |")
    return [*lines, ""]


def _render_table_load(record):
    entries = record["entries"]
    lines = [
        f"### The platform's table, all daemons of {entries} entry instances",
        "",
        "| load | gateways | schedulers | sum |",
        "|---|---|---|---|",
    ]
    for cost in TABLE_COSTS:
        parts = [entries * compute_total(record, r, cost) for r in ROLES]
        cells = [COSTS[cost], *map(_format, parts), f"**{_format(sum(parts))}**"]
        lines.append(f"| {' | '.join(cells)} |")
    return lines


ROLES = ("gateway", "scheduler")


def _format(value):
    if value is None:
        return "-"
    if abs(value) < NEGLIGIBLE:
        return "0"
    if abs(value) >= 1000:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{value:.3g}"


def replace_tables(page, tables):
    """Return the page with its worked-out part replaced."""
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f"{before}{BEGIN}\n\n{tables}\n\n{END}{after}"


def main():
    """Write the tables into docs/CAPACITY.md from docs/capacity-slopes.json."""
    record = json.loads(RECORD.read_text())
    PAGE.write_text(replace_tables(PAGE.read_text(), render(record)))


if __name__ == "__main__":
    typer.run(main)
