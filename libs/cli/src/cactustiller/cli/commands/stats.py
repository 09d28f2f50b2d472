"""Statistics of the whole cell: waiting times, packing, shares and control cost."""

import time
from typing import Annotated

import typer

from ..display import show_json, show_table
from ..session import JsonFlag, run_call

WATCH_SECONDS = 2.0
SHOWN_LABELS = 10
TIME_COLUMNS = ("time", "count", "p50_ms", "p90_ms", "p99_ms", "max_ms")
TEAM_COLUMNS = (
    "team",
    "weight",
    "running",
    "waiting",
    "used_share",
    "share",
    "distance",
)
PACKING_COLUMNS = ("packing", "cpu_millis", "memory_mib", "accelerators")
WORKER_COLUMNS = ("per worker", "count", "p50_percent", "p90_percent", "max_percent")
COST_COLUMNS = (
    "member",
    "core_percent",
    "resident_mib",
    "bytes",
    "peer_messages",
    "table_reads",
    "table_writes",
)
LABELLED = ("waiting_by_team", "waiting_by_queue")
PACKING_FAMILY = "packing_"
BYTE_COUNTERS = ("sent_bytes", "received_bytes")


def show_stats(
    context: typer.Context,
    watch: Annotated[bool, typer.Option("--watch", help="Until interrupted.")] = False,
    as_json: JsonFlag = False,
):
    """Show waiting times, packing, shares and control cost of the cell."""
    previous = None
    while True:
        reply = run_call(context, lambda client: client.get_stats())
        stats = reply.model_dump(mode="json")
        if as_json:
            show_json(stats)
        else:
            show_cell(stats, previous)
        if not watch:
            return
        previous = (time.monotonic(), stats)
        time.sleep(WATCH_SECONDS)


def show_cell(stats, previous=None):
    """Print statistics for people.

    Parameters
    ----------
    stats : dict
        Answer of ``GET /v1/stats``.
    previous : tuple of float and dict, optional
        Time and answer of the call before; then costs are a second, else in all.
    """
    histograms = stats.get("histograms", {})
    show_table(TIME_COLUMNS, list_times(histograms))
    packing = stats.get("packing", {})
    show_table(
        PACKING_COLUMNS,
        [{"packing": name, **values} for name, values in packing.items()],
    )
    show_table(WORKER_COLUMNS, _list_packing(histograms))
    teams = [{"team": name, **team} for name, team in stats.get("teams", {}).items()]
    teams.sort(key=lambda team: -abs(team["distance"]))
    show_table(TEAM_COLUMNS, teams[:SHOWN_LABELS])
    if len(teams) > SHOWN_LABELS:
        typer.echo(f"and {len(teams) - SHOWN_LABELS} teams nearer to their share")
    members = stats.get("members", {})
    if previous is None:
        typer.echo("control cost in all, since each daemon's start:")
        costs = [count_cost(name, now) for name, now in members.items()]
    else:
        at, former = previous
        seconds = max(time.monotonic() - at, 1e-3)
        typer.echo(f"control cost a second, over {seconds:.1f} s:")
        costs = [
            count_cost(name, now, former["members"][name], seconds)
            for name, now in members.items()
            if name in former.get("members", {})
        ]
    show_table(COST_COLUMNS, costs)
    for member in stats.get("missing", []):
        typer.echo(f"no answer from {member}: its part is missing above", err=True)


def list_times(histograms):
    """Return rows of the time histograms, of labelled families the worst."""
    rows = []
    labelled = {}
    for name, summary in histograms.items():
        family = name.partition(":")[0]
        if family.startswith(PACKING_FAMILY):
            continue
        row = {"time": name, **summary}
        if family in LABELLED:
            labelled.setdefault(family, []).append(row)
        else:
            rows.append(row)
    for found in labelled.values():
        found.sort(key=lambda row: -row["p99_ms"])
        rows.extend(found[:SHOWN_LABELS])
    return rows


def count_cost(member, now, before=None, seconds=1.0):
    """Return a row of control cost, as a difference where `before` is given."""
    before = before or {}

    def add(*names):
        return sum(now.get(name, 0) - before.get(name, 0) for name in names) / seconds

    bytes_names = [name for name in now if name.endswith(BYTE_COUNTERS)]
    processor = add("processor_milliseconds")
    row = {
        "member": member,
        "core_percent": round(processor / 10, 2) if before else None,
        "resident_mib": round(now.get("resident_kib", 0) / 1024, 1),
        "bytes": add(*bytes_names),
        "peer_messages": add("peer_sent_messages", "peer_received_messages"),
        "table_reads": add("table_reads"),
        "table_writes": add("table_transactions"),
    }
    return {
        name: round(value, 1)
        if isinstance(value, float) and name != "core_percent"
        else value
        for name, value in row.items()
    }


def _list_packing(histograms):
    return [
        {"per worker": name, **summary}
        for name, summary in histograms.items()
        if name.startswith(PACKING_FAMILY)
    ]
