#!/usr/bin/env bash
# Configures and builds everything into build/.
set -eu
cd "$(dirname "$0")/.."
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B build -G Ninja >build-configure.log 2>&1 ||
    { cat build-configure.log; exit 1; }
rm -f build-configure.log
cmake --build build -- "$@"
