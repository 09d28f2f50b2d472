"""Control cost of a daemon: processor, memory, bytes, messages, table operations.

Counted are frames between daemons with their length prefix, and HTTP with its heads
to the platform's services and workers. Not counted are the callers' and operators'
HTTP, requests to executors, and what TCP/IP adds.
"""

import os
import time
from pathlib import Path

STATM_FILE = Path("/proc/self/statm")
RESIDENT_FIELD = 1


def collect_control_counters(member, ports):
    """Return the counters of a daemon's control cost since its start.

    Parameters
    ----------
    member : Member
    ports : dict of str to object
        Ports to outside systems by name; one without `CallCounters` counts nothing.

    Returns
    -------
    dict of str to int
        `resident_kib` is the present value, everything else only grows.
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
    """Return the resident memory of this process in KiB, 0 where unknown."""
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
