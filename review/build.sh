#!/usr/bin/env bash
# Prepares the stand-ins of the cases: they are Python programs that need its
# standard library only, so that building is a check that they compile. The
# programs under test come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - common/*.py [0-9]*/case.py <<'PY'
import sys
import tomllib  # Python 3.11 or later
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
PY
