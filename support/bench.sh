#!/usr/bin/env bash
# Runs one bench: support/bench.sh NAME [ARG...]; it prints key=value lines.
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:?usage: support/bench.sh NAME [ARG...]}
shift
exec "${BUILD_DIR:-build}/bench/bench-$name" "$@"
