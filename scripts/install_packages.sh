#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -eu
cd "$(dirname "$0")/.."
missing=$(xargs -n1 sh -c 'dpkg -s "$0" >/dev/null 2>&1 || echo "$0"' \
    < scripts/packages.txt)
[ -z "$missing" ] && exit 0
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
