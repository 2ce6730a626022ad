#!/usr/bin/env bash
# Checks the stand-ins of the cases 11 to 15. They are Python programs that use
# nothing but its library, so that nothing has to be built for them.
set -eu
cd "$(dirname "$0")"
for file in support-3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 - "$file" <<'EOF'
import ast, sys
ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])
EOF
done
