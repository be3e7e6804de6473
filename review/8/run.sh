#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
# With TROUBLE=0 it does the same without the disruption, and must pass.
cd "$(dirname "$0")"
export TROUBLE="${TROUBLE:-1}" PYTHONPATH="$PWD/../common2"
exec python3 -S case.py
