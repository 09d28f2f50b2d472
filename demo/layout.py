"""Size, ports and settings files of a cell."""

import json

from cactustiller.model import Record

ZONES = ("a", "b", "c")
REGION = "r1"
HOST = "127.0.0.1"
TABLE_OFFSET, OBJECTS_OFFSET, INSTANCES_OFFSET, WORKERS_OFFSET = 1, 2, 3, 4
BACKENDS_OFFSET = 10
ENTRIES_OFFSET = 100
PORTS_PER_ENTRY = 4


class CellOptions(Record):
    """Size and place of a cell; `folder` empty for a temporary one."""

    gateways: int = 3
    schedulers: int = 3
    workers: int = 24
    racks_of: int = 8
    backends: int = 24
    base_port: int = 21000
    log_level: str = "info"
    folder: str = ""

    def address(self, offset):
        """Return the address at this offset from the base port."""
        return f"{HOST}:{self.base_port + offset}"

    @property
    def instances(self):
        """Names of the entry instances."""
        count = max(self.gateways, self.schedulers)
        return [f"entry-{number + 1}" for number in range(count)]


def write_settings(options, number, folder, key_file):
    """Write the settings file of an entry instance; returns its path."""
    port = options.base_port + ENTRIES_OFFSET + PORTS_PER_ENTRY * number
    instance = options.instances[number]
    settings = {
        "instance": instance,
        "zone": ZONES[number % len(ZONES)],
        "region": REGION,
        "site": "demo",
        "cell": "main",
        "gateway": {"host": HOST, "http_port": port, "peer_port": port + 1},
        "scheduler": {"host": HOST, "peer_port": port + 2},
        "platform": {
            "table": [options.address(TABLE_OFFSET)],
            "objects": options.address(OBJECTS_OFFSET),
            "instances": options.address(INSTANCES_OFFSET),
        },
        "first_operator_key_file": str(key_file),
        "log_level": options.log_level,
    }
    path = folder / f"{instance}.json"
    path.write_text(json.dumps(settings, indent=2) + "\n")
    return path
