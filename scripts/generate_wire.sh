#!/usr/bin/env bash
# Writes src/wire/generated anew from the .thrift files. The result is
# committed, so that the build does not need the generator.
set -eu
cd "$(dirname "$0")/../src/wire"
rm -rf generated
mkdir generated
for definition in *.thrift; do
    thrift --gen cpp:moveable_types,no_skeleton \
        -out generated "$definition"
done
