#!/usr/bin/env bash
# Builds the stand-ins of the scripts from the libraries that the build of the
# deploy file has left in target/build.
set -euo pipefail
cd "$(dirname "$0")/.."
lib=target/build/lib
[ -f "$lib/libwisteriarill_mesh.a" ] || utils/bench_build.sh
mkdir -p review/bin
g++ -std=c++20 -O2 -DMSGPACK_NO_BOOST -Iinclude review/standin/*.cc \
  "$lib/libwisteriarill_mesh.a" "$lib/libwisteriarill.a" \
  -lPocoNet -lPocoFoundation -lspdlog -lfmt -lxxhash -lpthread \
  -o review/bin/mesh_standin
