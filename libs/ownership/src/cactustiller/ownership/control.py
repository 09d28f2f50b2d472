"""Control-plane cost of a daemon: CPU, memory, bytes, messages, table operations.

The byte counters include frames between daemons with their length prefix, and HTTP
messages with their headers to the platform's services and to workers. They exclude
HTTP of API clients and operators, requests to executors, and TCP/IP overhead.
"""

import os
import time
from pathlib import Path

STATM_FILE = Path("/proc/self/statm")
RESIDENT_FIELD = 1


def collect_control_counters(member, ports):
    """Return the control-plane cost of a daemon since its start.

    Parameters
    ----------
    member : Member
    ports : dict of str to object
        Ports to external systems by name; one without `CallCounters` is skipped.

    Returns
    -------
    dict of str to int
        `resident_kib` is the current value; all others are cumulative.
    """
    traffic = member.traffic
    commits = member.committer.counters
    counters = {
        "processor_milliseconds": int(time.process_time() * 1000),
        "resident_kib": read_resident_kib(),
        "peer_sent_messages": traffic.sent_messages,
        "peer_sent_bytes": traffic.sent_bytes,
        "peer_received_messages": traffic.received_messages,
        "peer_received_bytes": traffic.received_bytes,
        "peer_late_replies": traffic.late_replies,
        "table_transactions": commits.transactions,
        "table_records": commits.records,
        "table_conflicts": commits.conflicts,
        "table_lost_answers": commits.lost_answers,
        "table_reads": sum(member.table.reads_by_purpose.values()),
    }
    for purpose, records in commits.records_by_purpose.items():
        counters[f"table_records.{purpose}"] = records
    for purpose, reads in member.table.reads_by_purpose.items():
        counters[f"table_reads.{purpose}"] = reads
    for name, port in ports.items():
        calls = getattr(port, "counters", None)
        if calls is not None:
            counters |= _count_calls(name, calls)
    return counters


def read_resident_kib():
    """Return the resident memory of this process in KiB, 0 if unavailable."""
    try:
        pages = int(STATM_FILE.read_text().split()[RESIDENT_FIELD])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE") // 1024


def _count_calls(name, calls):
    return {
        f"{name}_calls": calls.calls,
        f"{name}_failures": calls.failures,
        f"{name}_sent_bytes": calls.sent_bytes,
        f"{name}_received_bytes": calls.received_bytes,
    }
