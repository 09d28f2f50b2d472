#!/bin/sh
# Builds the stand-ins of the cases, which are Python programs of the standard library
# and of the packages that the deploy file installs. Run after the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps exec python3 -c '
import py_compile
from pathlib import Path

import aiohttp, orjson

for path in [*Path("review/common").glob("*.py"), *Path("review").glob("[1-5]/*.py")]:
    py_compile.compile(str(path), doraise=True)
'
