#!/usr/bin/env bash
# Runs a benchmark: support/bench.sh NAME [ARGUMENT...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
if [ $# -lt 1 ]; then
  echo "usage: support/bench.sh NAME [ARGUMENT...]" >&2
  exit 2
fi
name=$1
shift
# A bench that needs other processes has a script of its own.
if [ -x "support/bench_$name.sh" ]; then
  exec "support/bench_$name.sh" "$@"
fi
program=$build/bench-$name
# CMake puts the programs of a subdirectory into its own directory.
[ -x "$program" ] || program=$build/bench/bench-$name
if [ ! -x "$program" ]; then
  echo "support/bench.sh: no program for '$name' in $build; build it first" >&2
  exit 2
fi
exec "$program" "$@"
