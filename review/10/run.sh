#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Build first: the build command of
# deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wisteriaproxy ] && [ -x target/review-2/mesh-trial ] || exit 2
target/review-2/mesh-trial stalled-answer review/10
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
