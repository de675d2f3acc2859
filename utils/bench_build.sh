#!/usr/bin/env bash
# Runs the build command of deploy/system.toml, which puts the proxy into
# target/.
set -euo pipefail
cd "$(dirname "$0")/.."
bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
