#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases that use standin-3.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin-3 -B target/review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-3
