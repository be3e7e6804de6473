#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain Python of the standard
# library, so there is nothing to build but their byte code.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common ./*/case.py
