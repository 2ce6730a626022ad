#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python modules without
# dependencies: this checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path(".").glob("support-2/*.py")) + [
        path for number in range(6, 11)
        for path in sorted(pathlib.Path(str(number)).glob("*.py"))]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
CHECK
