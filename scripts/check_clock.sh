#!/usr/bin/env bash
# Fails when code reads the time of day outside the one header for it, or when
# the relay reads it for more than what it shows to people.
set -eu
cd "$(dirname "$0")/.."

header="src/units/wall_clock.hpp"
# The stand-alone daemon's uses are listed in docs/design/time.md.
allowed="$header
src/peering/first_incarnation.hpp
src/relay/job_service.cpp"

sources=$(git ls-files --cached --others --exclude-standard src platform |
    grep -E '\.(cpp|hpp)$' | grep -v '/generated/')
# shellcheck disable=SC2086
direct=$(grep -nE 'system_clock|CLOCK_REALTIME|gettimeofday|time\(nullptr\)|time\(NULL\)' \
    $sources | grep -v "^$header:" || true)
# shellcheck disable=SC2086
indirect=$(grep -lE 'wall_clock' $sources | grep -v '^src/daemon/' |
    grep -vxF "$allowed" || true)
[ -z "$direct$indirect" ] && exit 0
echo "The time of day is read outside the files that may:"
printf '%s\n' "$direct" "$indirect"
exit 1
