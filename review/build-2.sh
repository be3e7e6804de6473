#!/usr/bin/env bash
# Builds what the scripts of review 2 start: their stand-ins need no packages,
# so this only compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common2 6 7 8
