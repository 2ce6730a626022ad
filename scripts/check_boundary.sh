#!/usr/bin/env bash
# Fails where something outside platform/ names the platform's header fields,
# calls or keys, or where the deploy file needs a package that the install
# script does not bring. Tests of the adapter and its stand-ins may name them.
set -eu
cd "$(dirname "$0")/.."
names='Parsleytrack-[A-Z]|/v1/(kv-|lots|items|resolve|report|ready)|op/(config|retire)|trafficSplit|targetLatencyMs'
if grep -rnE "$names" src; then
    echo "names of the platform stand outside platform/" >&2
    exit 1
fi
sed -n '/^packages/,/^\]/p' deploy/system.toml | grep -oE '"[^"]+"' |
    tr -d '"' | sort >build/deploy_packages.txt
if ! missing=$(comm -23 build/deploy_packages.txt \
    <(sort scripts/packages.txt)) || [ -n "$missing" ]; then
    echo "deploy/system.toml needs packages that are not installed: $missing" >&2
    exit 1
fi
