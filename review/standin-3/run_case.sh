#!/usr/bin/env bash
# Runs one case with the node's program of the deploy file.
# Usage: run_case.sh NAME FOLDER   (FOLDER receives record.txt)
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case didn't run.
set -uo pipefail
name=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.."

program=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
case_program=target/review-3/review_case_$name
upstream=target/review-3/review_upstream
for needed in "$program" "$case_program" "$upstream"; do
  if [ ! -x "$needed" ]; then
    echo "$needed is missing: build the deploy file and the stand-ins" >&2
    exit 2
  fi
done

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
timeout 115 "$case_program" "$folder" "$work" "$program" "$upstream"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
