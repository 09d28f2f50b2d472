#!/usr/bin/env bash
# Checks that the stand-ins of the cases 11, 13 and 14 can start. They are Python and
# use the libraries of the build of deploy/system.toml, which has to come first.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
python3 -c "import review.rig3.cell, review.rig3.chains"
