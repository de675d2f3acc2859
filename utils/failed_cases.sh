#!/usr/bin/env bash
# Prints the names and the output of the cases that failed in the last run of
# ctest, so that the end of a log tells them.
# Usage: utils/failed_cases.sh BUILD_DIRECTORY
set -euo pipefail

log=$1/Testing/Temporary/LastTest.log
max_lines=150
echo "failed cases:"
awk -v max="$max_lines" '
  function flush_case(title) {
    print "== " program ": " title
    first = lines > max ? lines - max + 1 : 1
    for (i = first; i <= lines; ++i) print line[i]
    lines = 0
  }
  /^[0-9]+\/[0-9]+ Testing: / { program = $3; lines = 0; running = "" }
  /^\[ RUN      \] / { running = $4; lines = 0 }
  running != "" { line[++lines] = $0 }
  /^\[       OK \] |^\[  SKIPPED \] / { running = ""; lines = 0 }
  /^\[  FAILED  \] / && running != "" { flush_case(running); running = "" }
  # A program that crashes ends within a case.
  /^<end of output>/ && running != "" {
    flush_case(running " (did not end)")
    running = ""
  }
  /^Test Failed\.|^Test timeout|^\*\*\*Exception/ { print "-- failed program: " program }
' "$log"
