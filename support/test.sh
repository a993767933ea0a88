#!/usr/bin/env bash
# Installs, builds and runs every test; a failed test prints its output.
set -euo pipefail
cd "$(dirname "$0")/.."
support/setup.sh
build=${BUILD_DIR:-build}
cmake -G Ninja -B "$build" >/dev/null
ninja -C "$build"
ctest --test-dir "$build" --output-on-failure -j "${TEST_JOBS:-4}"
