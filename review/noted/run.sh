#!/usr/bin/env bash
# Runs what claim.txt tells; not a case.
exec "$(dirname "$0")/../run-case.sh" noted
