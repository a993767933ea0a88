#!/usr/bin/env bash
# Builds every program that the scripts of the review start beside the gateway, with its stand-ins of the store,
# the runners and the clients: one program a case, in target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/{[0-9],noted}/case.cc; do
  [ -e "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O1 -pthread -Wall -Wextra "$case" review/standin/*.cc -o "target/review/case-$number" &
done
wait
for case in review/{[0-9],noted}/case.cc; do
  [ -e "$case" ] || continue
  test -x "target/review/case-$(basename "$(dirname "$case")")"
done
