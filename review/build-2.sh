#!/usr/bin/env bash
# Builds the programs that the scripts of the second review start beside the
# gateway, one a case, in target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
  [ -e "review/$number/case.cc" ] || continue
  g++ -std=c++20 -O1 -pthread -Wall -Wextra "review/$number/case.cc" \
    review/standin-2/*.cc -o "target/review-2/case-$number"
done
