#!/usr/bin/env bash
# Runs clang-tidy on every source file, or on those named.
set -eu
cd "$(dirname "$0")/.."
files=("$@")
if [ ${#files[@]} -eq 0 ]; then
    mapfile -t files < <(find src tests platform -name generated -prune -o \
        -name '*.cpp' -print | sort)
fi
printf '%s\n' "${files[@]}" |
    xargs -P "$(nproc)" -n 1 sh -c \
        'clang-tidy -p build --quiet "$0" 2>/dev/null >build/lint.$$.log || {
             cat build/lint.$$.log; rm -f build/lint.$$.log; exit 1; }
         rm -f build/lint.$$.log'
