#!/usr/bin/env bash
# Builds the programs and runs a demonstration on a small mesh on the loopback
# interface. With --hold, runs the mesh without load for SECONDS instead.
# Usage: utils/demo.sh [--hold SECONDS] [--deployment DIR]
set -euo pipefail
cd "$(dirname "$0")/.."

hold=
deployment=examples/tregor
while [ $# -gt 0 ]; do
  case "$1" in
    --hold) hold=$2; shift 2 ;;
    --deployment) deployment=$2; shift 2 ;;
    *) echo "usage: utils/demo.sh [--hold SECONDS] [--deployment DIR]" >&2
       exit 2 ;;
  esac
done

utils/packages.sh
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=Release >&2
cmake --build build >&2
logs=$(mktemp -d)
bench=(build/tools/wisteria-bench)
if [ -n "$hold" ]; then
  exec "${bench[@]}" hold --seconds "$hold" --deployment "$deployment" \
    --out "$logs"
fi
exec "${bench[@]}" demo --deployment "$deployment" --out "$logs"
