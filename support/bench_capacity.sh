#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md: the decision modules alone, then real processes on
# loopback. support/bench_capacity.sh [NUMBER OF AGENTS...]
set -euo pipefail
cd "$(dirname "$0")/.."
build/bench/bench-capacity
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(10 40 100)
programs=$PWD/build
operator_token=operator-secret
seconds=10

# Joins its arguments by commas.
join() {
  local IFS=,
  echo "$*"
}

measure() {
  local agents=$1 i
  work=$(mktemp -d)
  started=()
  start_standin log log
  start_standin hosts hosts
  start_standin engine engine --memory-bytes 1000 --loaded m=400
  log=$(address_of log standin)
  hosts=$(address_of hosts standin)
  store=127.0.0.1:1
  engine=$(address_of engine standin)
  local targets=() rows=()
  for i in $(seq "$agents"); do
    targets+=("{\"id\":\"t$i\",\"region\":\"r\",\"data_centre\":\"d\",\"memory_bytes\":1000}")
  done
  printf '{"regions":[{"id":"r","data_centres":["d"]}],"owners":[{"id":"o"}],"models":[{"id":"m","weight_bytes":400,"owner":"o"}],"targets":[%s]}' \
    "$(join "${targets[@]}")" >"$work/first.json"
  "$programs/src/pimentosparctl" config propose --log "$log" --base none --author bench "$work/first.json" >/dev/null
  for i in $(seq "$agents"); do
    write_settings "agent$i" agent r d "t$i" "$engine"
    # The default intervals, as in operation.
    sed -i '/^\[interval\]/,/^$/{/_ms/d}' "$work/agent$i.toml"
    start_daemon "agent$i"
  done
  write_settings entry entry r d
  sed -i '/^\[interval\]/,/^$/{/_ms/d}' "$work/entry.toml"
  start_daemon entry
  for i in $(seq "$agents"); do
    rows+=("{\"id\":\"a$i\",\"role\":\"agent\",\"region\":\"r\",\"data_centre\":\"d\",\"address\":\"$(address_of "agent$i" rpc)\",\"gossip\":\"$(address_of "agent$i" gossip)\",\"target\":\"t$i\",\"state\":\"live\"}")
  done
  rows+=("{\"id\":\"e\",\"role\":\"entry\",\"region\":\"r\",\"data_centre\":\"d\",\"address\":\"$(address_of entry rpc)\",\"gossip\":\"$(address_of entry gossip)\",\"state\":\"live\"}")
  curl -fsS -X PUT --data "{\"hosts\":[$(join "${rows[@]}")]}" "http://$hosts/hosts" >/dev/null
  wait_until is_ready "$(address_of entry operator)"
  wait_until is_ready "$(address_of "agent$agents" operator)"
  sleep 15
  local name
  for name in entry agent1; do
    sample "$name" "$agents"
  done
  spread "$agents"
  stop_all 2>/dev/null
  rm -rf "$work"
}

ticks() { awk '{print $14 + $15}' "/proc/$(pid_of "$1")/stat"; }
resident_kb() { awk '/^VmRSS/ {print $2}' "/proc/$(pid_of "$1")/status"; }

# Prints what control costs one idle process.
sample() {
  local name=$1 agents=$2 operator before_ticks before_bytes before_sent
  operator=$(address_of "$name" operator)
  before_ticks=$(ticks "$name")
  before_bytes=$(metric "$operator" pimentospar_gossip_bytes_total)
  before_sent=$(metric "$operator" pimentospar_gossip_sent_total)
  sleep "$seconds"
  awk -v ticks="$(($(ticks "$name") - before_ticks))" -v seconds="$seconds" \
    -v bytes="$(($(metric "$operator" pimentospar_gossip_bytes_total) - before_bytes))" \
    -v sent="$(($(metric "$operator" pimentospar_gossip_sent_total) - before_sent))" \
    -v rss="$(resident_kb "$name")" -v hertz="$(getconf CLK_TCK)" -v name="$name" -v agents="$agents" \
    'BEGIN {printf "bench=capacity part=process role=%s agents=%d core_percent=%.2f resident_mb=%.1f gossip_bytes_per_s=%.0f gossip_sent_per_s=%.1f\n",
      name, agents, 100 * ticks / hertz / seconds, rss / 1024, bytes / seconds, sent / seconds}'
}

# Prints how long a change takes until every process has it in force. The log lines carry the time.
spread() {
  local agents=$1 begin last
  printf '[{"op":"replace","path":"/deployment","value":"x"}]' >"$work/patch.json"
  begin=$(date +%s%3N)
  "$programs/src/pimentosparctl" config propose --log "$log" --base 1 --author bench "$work/patch.json" >/dev/null
  all_have() { [ "$(grep -l 'event=config_in_force version=2' "$work"/*.log | wc -l)" = $((agents + 1)) ]; }
  wait_until all_have
  last=$(grep -h 'event=config_in_force version=2' "$work"/*.log | sed 's/^time=\([^ ]*\).*/\1/' | sort | tail -1)
  echo "bench=capacity part=spread agents=$agents in_force_everywhere_ms=$(($(date -d "$last" +%s%3N) - begin))"
}

# shellcheck source=support/lib.sh
. support/lib.sh
work=
trap 'stop_all 2>/dev/null; [ -z "$work" ] || rm -rf "$work"' EXIT
for size in "${sizes[@]}"; do
  measure "$size"
done
