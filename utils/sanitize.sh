#!/usr/bin/env bash
# Runs the unit tests under a sanitizer.
# Usage: utils/sanitize.sh NAME   (a value of -fsanitize, such as thread)
set -euo pipefail
cd "$(dirname "$0")/.."

name=$1
build=build-${name//,/-}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DWISTERIARILL_SANITIZE="$name" -DWISTERIARILL_TOOLS=OFF \
  -DWISTERIARILL_BENCHMARKS=OFF >/dev/null

# The tests of mesh and platform are single-threaded, so the thread sanitizer
# cannot find races in them, and their templates are slow to compile.
programs=(process_tests version_tests connection_tests request_tests
          model_tests admission_tests routing_tests registry_tests)
if [ "$name" != thread ]; then
  programs+=(mesh_tests platform_tests)
fi
cmake --build "$build" --target "${programs[@]}"
export TSAN_OPTIONS="suppressions=$PWD/utils/tsan.supp"
pattern=$(IFS='|'; echo "${programs[*]}")
if ! ctest --test-dir "$build" --output-on-failure -R "^($pattern)\$"; then
  utils/failed_cases.sh "$build"
  exit 1
fi
