#!/usr/bin/env bash
# Fails where a source file is not formatted as .clang-format says.
set -eu
cd "$(dirname "$0")/.."
find src tests platform -name generated -prune -o \
    \( -name '*.cpp' -o -name '*.hpp' \) -print0 |
    xargs -0 -P "$(nproc)" -n 20 clang-format --dry-run --Werror
