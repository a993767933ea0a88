#!/usr/bin/env bash
# Generates the committed C++ code of the Cap'n Proto schemas again.
set -euo pipefail
cd "$(dirname "$0")/../schema"
for schema in *.capnp; do
  capnp compile -oc++ "$schema"
done
