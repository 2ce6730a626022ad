#!/usr/bin/env bash
# The whole check: packages, build, format, lint, tests.
set -eu
cd "$(dirname "$0")/.."
scripts/install_packages.sh
scripts/build.sh
scripts/check_boundary.sh
scripts/check_clock.sh
scripts/check_format.sh
scripts/check_lint.sh
scripts/run_tests.sh
