#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
# run; with TROUBLE=0 the disruption is left out.
set -u
cd "$(dirname "$0")"
export PYTHONPATH="$PWD/../support-3" PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
