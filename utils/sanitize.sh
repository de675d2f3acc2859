#!/usr/bin/env bash
# Runs the unit tests under a sanitizer. Usage: utils/sanitize.sh NAME
set -euo pipefail
cd "$(dirname "$0")/.."

name=$1
build=build-${name//,/-}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DWISTERIARILL_SANITIZE="$name" -DWISTERIARILL_TOOLS=OFF \
  -DWISTERIARILL_BENCHMARKS=OFF >/dev/null
cmake --build "$build"
export TSAN_OPTIONS="suppressions=$PWD/utils/tsan.supp"
ctest --test-dir "$build" --output-on-failure -L unit
