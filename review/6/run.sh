#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. With TROUBLE=0 no runner leaves.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review-2/case-6 ] || exit 2
exec target/review-2/case-6 "$folder/record.txt"
