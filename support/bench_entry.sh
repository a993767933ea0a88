#!/usr/bin/env bash
# Measures what an entry and its agent add to a chat request. Options go to bench-entry.
set -euo pipefail
cd "$(dirname "$0")/.."
programs=$PWD/build
work=$(mktemp -d)
# shellcheck source=support/lib.sh
. support/lib.sh
trap 'stop_all 2>/dev/null; rm -rf "$work"' EXIT
operator_token=operator-secret
caller_token=caller-secret

start_standin log log
start_standin hosts hosts
start_standin engine engine --memory-bytes 1000 --token-ms 0 --loaded m=400 --max-running 1000
log=$(address_of log standin)
hosts=$(address_of hosts standin)
store=127.0.0.1:1
engine=$(address_of engine standin)
printf '{"type":"change","id":"%032x","base_version":0,"author":"bench","time":0,"prev_hash":"%064d","document":
{"regions":[{"id":"r","data_centres":["d"]}],
"owners":[{"id":"o","token_hashes":["%s"]}],
"models":[{"id":"m","weight_bytes":400,"owner":"o"}],
"targets":[{"id":"t","region":"r","data_centre":"d","memory_bytes":1000}]}}' \
  1 0 "$(printf '%s' "$caller_token" | sha256sum | cut -d' ' -f1)" |
  curl -fsS --data-binary @- "http://$log/v1/streams/config/records" >/dev/null
write_settings agent agent r d t "$engine"
start_daemon agent
curl -fsS -X PUT --data "{\"hosts\":[{\"id\":\"a\",\"role\":\"agent\",\"region\":\"r\",
\"data_centre\":\"d\",\"address\":\"$(address_of agent rpc)\",\"target\":\"t\",\"state\":\"live\"}]}" \
  "http://$hosts/hosts" >/dev/null
write_settings entry entry r d
start_daemon entry
wait_until is_ready "$(address_of agent operator)"
wait_until is_ready "$(address_of entry operator)"
build/bench/bench-entry --direct "$engine" --via "$(address_of entry caller)" \
  --token "$caller_token" --entry-pid "$(pid_of entry)" --agent-pid "$(pid_of agent)" "$@"
