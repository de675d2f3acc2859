#!/usr/bin/env bash
# Installs the required packages, builds, and runs all checks: format, lint,
# sanitizers and tests.
# Usage: utils/check.sh [--quick]   (--quick skips lint and sanitizers)
set -euo pipefail
cd "$(dirname "$0")/.."

quick=no
[ "${1:-}" = --quick ] && quick=yes
utils/packages.sh

cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build

mapfile -t sources < <(git ls-files '*.cc' '*.h')
echo "format: ${#sources[@]} files"
clang-format --dry-run --Werror "${sources[@]}"

# The time of day of a VM may jump, so nothing may wait, expire or be ordered by
# it. Log lines get their time from spdlog.
echo "time of day:"
if git grep -nE 'system_clock|utc_clock|sys_time|CLOCK_REALTIME|gettimeofday|\btime\((NULL|nullptr|0)\)' \
  -- lib include platform tools; then
  echo "use BootClock instead" >&2
  exit 1
fi

if [ "$quick" = no ]; then
  mapfile -t units < <(git ls-files 'lib/*.cc' 'platform/*.cc' 'tools/*.cc')
  echo "lint: ${#units[@]} files"
  printf '%s\n' "${units[@]}" |
    xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p build 2>/dev/null
  utils/sanitize.sh address,undefined
  utils/sanitize.sh thread
fi

utils/known_red.sh build
