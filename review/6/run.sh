#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. What happened stands in record.txt.
set -uo pipefail
cd "$(dirname "$0")"
timeout --kill-after=5 112 python3 case.py
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
