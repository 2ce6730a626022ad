#!/usr/bin/env bash
# Shows the whole path on loopback: a release note, a streamed answer, a
# plain-service call and a batch job. Exits 0 only if each was right.
#   --keep                  leave everything running, listed in
#                           build/demo/processes.json
#   --stop                  end what an earlier --keep left running
#   --deployment NAME       givree (default) or juggling
set -eu
cd "$(dirname "$0")/.."
case " $* " in
*" --stop "*) ;;
*)
    scripts/install_packages.sh
    scripts/build.sh
    ;;
esac
exec python3 scripts/demo.py "$@"
