#!/usr/bin/env bash
# Checks each specification exhaustively, and that each variant without its protecting rule fails.
# A specification spec/NAME.pml names its variants in lines "// variant: MACRO".
set -euo pipefail
cd "$(dirname "$0")/.."
shopt -s nullglob
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Prints the number of errors that Spin finds and whether the search was exhaustive.
check() {
  local spec=$1 macro=$2
  (
    cd "$work"
    rm -f pan*
    spin ${macro:+-D$macro} -a "$spec" >spin.out 2>&1 || { cat spin.out; exit 1; }
    gcc -O2 -DSAFETY -DCOLLAPSE -DNOREDUCE -DVECTORSZ=4096 -DMEMLIM=4096 -w -o pan pan.c
    ./pan -m1000000 >pan.out
    errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.out)
    if grep -q 'max search depth too small\|out of memory\|Search not completed' pan.out; then
      complete=no
    else
      complete=yes
    fi
    states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' pan.out)
    echo "errors=$errors complete=$complete states=$states"
  )
}

failed=0
for spec in "$PWD"/spec/*.pml; do
  name=$(basename "$spec" .pml)
  result=$(check "$spec" "")
  echo "spec=$name variant=none $result"
  [[ $result == errors=0\ complete=yes* ]] || failed=1
  for macro in $(sed -n 's,^// variant: *,,p' "$spec"); do
    result=$(check "$spec" "$macro")
    echo "spec=$name variant=$macro $result"
    [[ $result == errors=[1-9]* ]] || failed=1
  done
done
exit $failed
