#!/bin/sh
# Checks that the stand-ins of the cases 6 to 10 can start; they are Python and use the
# packages that the build of the deploy file has put into target/deps.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
PYTHONPATH="$root/target/deps:$root/review" python3 - <<'PY'
import aiohttp
import orjson

import cactustiller.fleet.daemon
import rig2.cell
import rig2.script

print(f"stand-ins are ready: aiohttp {aiohttp.__version__}")
PY
