#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
[ -x .venv/bin/python ] || { echo "build the gateway first" >&2; exit 2; }
PYTHONPATH=review exec timeout -k 5 112 .venv/bin/python -B "$folder/case.py"
