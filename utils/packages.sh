#!/usr/bin/env bash
# Installs those Debian packages needed by the build and the tests that are
# missing.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy curl ca-certificates
  libboost-dev libcxxopts-dev libgtest-dev libgmock-dev libbenchmark-dev
  libmsgpack-cxx-dev libnng-dev libpoco-dev librapidcheck-dev libspdlog-dev
  libtomlplusplus-dev libxxhash-dev gnuplot-nox
)

missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
  [ "$status" = "install ok installed" ] || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -qq
  apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
