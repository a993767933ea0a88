#!/usr/bin/env bash
# Checks the format of all sources and runs the linter; `--fix` formats in place.
# `support/lint.sh FILE...` lints only these files.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
fix=no
if [ "${1:-}" = --fix ]; then
  fix=yes
  shift
fi
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cc' '*.h' |
  grep -v '\.capnp\.' | while read -r file; do [ -e "$file" ] && echo "$file"; done)
if [ "$fix" = yes ]; then
  clang-format -i "${sources[@]}"
  exit 0
fi
clang-format --dry-run --Werror "${sources[@]}"
if [ $# -gt 0 ]; then
  units=("$@")
else
  mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cc$')
fi
# The time of a whole run is kept down by remembering the sources that passed, by content.
cache=${LINT_CACHE:-$HOME/.cache/pimentospar-lint}
mkdir -p "$cache"
headers=$(cat .clang-tidy $(git ls-files '*.h' --cached --others --exclude-standard) | sha256sum)
lint_one() {
  local key
  key=$( (echo "$2"; cat "$1") | sha256sum | cut -c1-40)
  [ -e "$3/$key" ] && return 0
  clang-tidy -p "$4" --quiet --extra-arg=-Wno-unknown-warning-option "$1" 2>/dev/null || { echo "lint: $1"; return 1; }
  touch "$3/$key"
}
export -f lint_one
printf '%s\n' "${units[@]}" |
  xargs -P "${LINT_JOBS:-8}" -I{} bash -c 'lint_one "$@"' _ {} "$headers" "$cache" "$build"
