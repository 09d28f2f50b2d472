"""Builder of log lines of members."""

import json


def make_line(second, event, member="m0", **fields):
    """Return a log line, `second` seconds after a full minute."""
    stamp = f"2026-01-07T21:14:{second:06.3f}Z"
    return json.dumps({"event": event, "time": stamp, "member": member, **fields})
