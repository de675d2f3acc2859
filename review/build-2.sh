#!/bin/bash
# Builds the stand-ins that the scripts of review/6 to review/10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread \
  -DMSGPACK_NO_BOOST -o target/review-2/mesh-trial review/standin-2/*.cc
# The further trials of the second sitting.
review/build-3.sh
