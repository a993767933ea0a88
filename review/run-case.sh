#!/usr/bin/env bash
# Runs the program of one case: review/run-case.sh N. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run.
set -uo pipefail
cd "$(dirname "$0")/.."
program=target/review/case-$1
if [ ! -x "$program" ] || [ ! -x target/platform/pimentospar-gateway ]; then
  echo "build first: the build line of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
WORK_FOLDER=$(mktemp -d)
export WORK_FOLDER
trap 'rm -rf "$WORK_FOLDER"' EXIT
timeout --signal=KILL 115 "$program" "review/$1"
code=$?
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
