#!/usr/bin/env bash
# Rehearses failures with real processes on loopback: callers send requests while a seeded schedule
# kills, pauses, replaces and disturbs the processes; the history is then judged by the promises of
# the design page. Prints key=value lines; exits 1 if a promise was violated.
#
#   support/rehearse.sh [--seed N] [--seconds S] [--short] [--keep FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1
seconds=60
keep=
while [ $# -gt 0 ]; do
  case $1 in
    --seed) seed=$2; shift 2 ;;
    --seconds) seconds=$2; shift 2 ;;
    --short) seconds=12; shift ;;
    --keep) keep=$2; shift 2 ;;
    *) echo "usage: support/rehearse.sh [--seed N] [--seconds S] [--short] [--keep FOLDER]" >&2; exit 2 ;;
  esac
done
if [ "$seconds" -gt 300 ]; then
  echo "--seconds is at most 300" >&2
  exit 2
fi
if [ "${REHEARSE_SKIP_BUILD:-}" != 1 ]; then
  support/setup.sh >/dev/null
  cmake -G Ninja -B build >/dev/null
  ninja -C build pimentospard pimentospar-standin pimentospar-rehearse >/dev/null
fi
programs=$PWD/build
rehearse=$programs/rehearsal/pimentospar-rehearse
work=$(mktemp -d)
# shellcheck source=support/lib.sh
. support/lib.sh
finish() {
  # A paused process does not act on SIGTERM.
  local pid
  for pid in "${started[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
  done
  stop_all
  if [ -n "$keep" ]; then
    mkdir -p "$keep"
    cp "$work"/*.log "$work"/*.jsonl "$keep" 2>/dev/null || true
  fi
  rm -rf "$work"
}
trap finish EXIT
operator_token=operator-secret
caller_token=caller-secret
models=lichen,moss,fern
RANDOM=$((seed % 32768))

# An address of this run's own, so that a port that is free for a moment is taken by nobody else;
# ports below the range that the system hands out.
ip=127.$((1 + $$ / 62500 % 254)).$((1 + $$ / 250 % 250)).$((1 + $$ % 250))
now_ms() { printf '%s' "$((${EPOCHREALTIME/[.,]/} / 1000))"; }
pause_ms() { sleep "$(printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)))"; }
# Sets `drawn` to a number from $1 to $2. Not a command substitution: a subshell would leave the
# generator where it was.
draw() { drawn=$(($1 + RANDOM % ($2 - $1 + 1))); }
signal() { kill "-$1" "$(pid_of "$2")"; }
# Waits for the end of a process; returns its exit code. Its id may then belong to another process.
await_end() {
  local pid code=0 other still=()
  pid=$(pid_of "$1")
  wait "$pid" 2>/dev/null || code=$?
  for other in "${started[@]}"; do
    [ "$other" != "$pid" ] && still+=("$other")
  done
  started=("${still[@]}")
  return "$code"
}
# A target that was killed meanwhile has no faults to switch.
fault_of() { curl -fsS --max-time 5 --data "$2" "http://$1/faults" >/dev/null 2>&1 || true; }
record() { # PART PROCESS KIND PLANNED FROM_MS
  printf '{"event":"fault","part":"%s","process":"%s","kind":"%s","planned":%s,"from_ms":%s,"to_ms":%s}\n' \
    "$1" "$2" "$3" "$4" "$5" "$(now_ms)" >>"$work/faults.jsonl"
}

engines=(engine1 engine2 engine3 engine4)
services=(booking1 booking2 booking3)
declare -A region=([engine1]=north [engine2]=north [engine3]=north [engine4]=south
  [booking1]=north [booking2]=north [booking3]=south [entry1]=north [entry2]=south)
declare -A address gossip rpc
port=21000
for name in log hosts store "${engines[@]}" "${services[@]}" entry1 entry2; do
  address[$name]=$ip:$((port++))
done
log=${address[log]}
hosts=${address[hosts]}
store=${address[store]}

start_target() {
  local name=$1
  case $name in
    engine[14]) start_standin "$name" engine --address "${address[$name]}" --memory-bytes 1000 --token-ms 5 \
      --loaded lichen=300,moss=300,fern=300 --store "$store" ;;
    engine*) start_standin "$name" engine --address "${address[$name]}" --memory-bytes 1000 --token-ms 5 \
      --loaded lichen=300,moss=300 --store "$store" ;;
    *) start_standin "$name" service --address "${address[$name]}" --runs-file "$work/runs-$name.jsonl" ;;
  esac
  address_of "$name" standin >/dev/null
}
# The daemon's new log starts empty, so that address_of finds the new address.
start_process() {
  local name=$1
  [ -e "$work/$name.log" ] && cat "$work/$name.log" >>"$work/$name.earlier.log"
  : >"$work/$name.log"
  if [ -e "$work/$name.toml" ]; then start_daemon "$name"; else start_target "$name"; fi
}
publish_hosts() {
  local rows=() name
  for name in "${engines[@]}" "${services[@]}"; do
    rows+=("{\"id\":\"$name-agent\",\"role\":\"agent\",\"region\":\"${region[$name]}\",\"data_centre\":\"${region[$name]}-1\",\"address\":\"${address[$name-agent]}\",\"gossip\":\"${gossip[$name-agent]:-}\",\"target\":\"$name\",\"state\":\"live\"}")
  done
  for name in entry1 entry2; do
    rows+=("{\"id\":\"$name\",\"role\":\"entry\",\"region\":\"${region[$name]}\",\"data_centre\":\"${region[$name]}-1\",\"address\":\"${rpc[$name]:-127.0.0.1:1}\",\"gossip\":\"${gossip[$name]:-}\",\"state\":\"live\"}")
  done
  local IFS=,
  curl -fsS --max-time 5 -X PUT --data "{\"hosts\":[${rows[*]}]}" "http://$hosts/hosts" >/dev/null
}
# Waits until a daemon has started and publishes the address of an agent.
await_daemon() {
  local name=$1
  gossip[$name]=$(address_of "$name" gossip)
  if [[ $name == *-agent ]]; then
    address[$name]=$(address_of "$name" rpc)
  else
    rpc[$name]=$(address_of "$name" rpc)
  fi
  publish_hosts
  wait_until is_ready "$(address_of "$name" operator)"
}
restart() {
  start_process "$1"
  if [ -e "$work/$1.toml" ]; then await_daemon "$1"; fi
}
report_engine() {
  printf '{"event":"engine_state","engine":"%s","state":%s}\n' "$1" \
    "$(curl -fsS --max-time 5 "http://${address[$1]}/state")" >>"$work/reports.jsonl"
}
part_of() {
  case $1 in
    entry*) echo entry ;;
    engine*) echo engine ;;
    *) echo service ;;
  esac
}

# --- start
for name in log hosts; do
  start_standin "$name" "$name" --address "${address[$name]}"
done
start_standin store store --address "$store" --load-ms 50
for name in "${engines[@]}" "${services[@]}"; do
  start_target "$name"
done
for name in log hosts store; do address_of "$name" standin >/dev/null; done
row() { printf '{"id":"%s","region":"%s","data_centre":"%s-1",%s}' "$1" "${region[$1]}" "${region[$1]}" "$2"; }
targets=
for name in "${engines[@]}"; do targets+=$(row "$name" '"memory_bytes":1000'),; done
for name in "${services[@]}"; do targets+=$(row "$name" '"memory_bytes":1000,"kind":"service","service":"booking"'),; done
document=$(
  cat <<JSON
{"deployment":"rehearsal","regions":[{"id":"north","data_centres":["north-1"]},
{"id":"south","data_centres":["south-1"]}],
"owners":[{"id":"care","token_hashes":["$(printf '%s' "$caller_token" | sha256sum | cut -d' ' -f1)"]}],
"models":[{"id":"lichen","weight_bytes":300,"owner":"care"},
{"id":"moss","weight_bytes":300,"owner":"care"},{"id":"fern","weight_bytes":300,"owner":"care"}],
"services":[{"id":"booking","home_region":"north","operations":[{"id":"create"},
{"id":"find","idempotent":true}]}],
"targets":[${targets%,}]}
JSON
)
printf '{"type":"change","id":"%032x","base_version":0,"author":"rehearsal","time":0,"prev_hash":"%064d","document":%s}' \
  1 0 "$document" | curl -fsS --data-binary @- "http://$log/v1/streams/config/records" >/dev/null
for name in "${engines[@]}" "${services[@]}"; do
  write_settings "$name-agent" agent "${region[$name]}" "${region[$name]}-1" "$name" "${address[$name]}"
done
for name in entry1 entry2; do
  write_settings "$name" entry "${region[$name]}" "${region[$name]}-1"
  sed -i "s/^caller = .*/caller = \"${address[$name]}\"/" "$work/$name.toml"
done
sed -i "s/127\.0\.0\.1:0/$ip:0/" "$work"/*.toml
agents=()
for name in "${engines[@]}" "${services[@]}"; do agents+=("$name-agent"); done
for name in "${agents[@]}"; do
  start_daemon "$name"
done
for name in "${agents[@]}"; do
  address[$name]=$(address_of "$name" rpc)
done
publish_hosts
for name in entry1 entry2; do
  start_daemon "$name"
done
for name in "${agents[@]}" entry1 entry2; do
  wait_until is_ready "$(address_of "$name" operator)"
done
call() {
  "$rehearse" "$1" --entries "${address[entry1]},${address[entry2]}" --models "$models" \
    --token "$caller_token" --history "$work/history.jsonl" --seed "$seed" --milliseconds "$2"
}
echo "rehearsal=started seed=$seed seconds=$seconds entries=2 engines=4 services=3"

# --- planned stops
# Ends a daemon with SIGTERM and starts its successor. Exit code 0 says that nothing was cut off.
replace() {
  local name=$1 from code=0
  from=$(now_ms)
  signal TERM "$name"
  await_end "$name" || code=$?
  if [ "$code" != 0 ]; then
    echo "planned_stop=$name exit_code=$code"
    failed_stops=$((failed_stops + 1))
  fi
  restart "$name"
  record "$(part_of "$name")" "$name" replace true "$from"
}
# A target is replaced after its agent has drained.
replace_target() {
  local name=$1 from
  from=$(now_ms)
  signal TERM "$name-agent"
  await_end "$name-agent" || failed_stops=$((failed_stops + 1))
  [[ $name == engine* ]] && report_engine "$name"
  signal TERM "$name"
  await_end "$name" || true
  start_process "$name"
  restart "$name-agent"
  record "$(part_of "$name")" "$name" replace_target true "$from"
}

# --- faults
kill_process() {
  local name=$1 from
  [[ $name == engine? ]] && report_engine "$name"
  from=$(now_ms)
  signal KILL "$name"
  await_end "$name" || true
  draw 0 800
  pause_ms "$drawn"
  restart "$name"
  record "$(part_of "$name")" "$name" kill false "$from"
}
# Two processes die at once, such as a target and its agent.
kill_two() {
  local name from
  from=$(now_ms)
  for name in "$@"; do
    if [[ $name == engine? ]]; then report_engine "$name"; fi
    signal KILL "$name"
  done
  for name in "$@"; do
    await_end "$name" || true
    restart "$name"
  done
  for name in "$@"; do
    record "$(part_of "$name")" "$name" kill_two false "$from"
  done
}
pause_process() {
  local name=$1 from
  from=$(now_ms)
  signal STOP "$name"
  draw 200 1800
  pause_ms "$drawn"
  signal CONT "$name"
  wait_until curl -fsS --max-time 1 "http://$(control_address_of "$name")"
  record "$(part_of "$name")" "$name" pause false "$from"
}
control_address_of() {
  if [ -e "$work/$1.toml" ]; then
    printf '%s/healthz' "$(address_of "$1" operator)"
  else
    printf '%s/state' "${address[$1]}"
  fi
}
disturb_log() {
  local from kind
  draw 0 2
  kind=$drawn
  from=$(now_ms)
  case $kind in
    0)
      fault_of "$log" '{"down":1}'
      draw 200 1500
      pause_ms "$drawn"
      ;;
    1)
      draw 50 400
      fault_of "$log" "{\"delay_ms\":$drawn}"
      draw 300 1500
      pause_ms "$drawn"
      ;;
    2)
      draw 1 6
      fault_of "$log" "{\"lose_answer\":$drawn}"
      draw 200 800
      pause_ms "$drawn"
      ;;
  esac
  fault_of "$log" '{"down":0,"delay_ms":0,"lose_answer":0}'
  local kinds=(log_down log_slow log_loses_answers)
  record log log "${kinds[kind]}" false "$from"
}
disturb_hosts() {
  local from
  from=$(now_ms)
  draw 0 3
  if [ "$drawn" = 0 ]; then
    fault_of "$hosts" '{"down":1}'
    draw 200 1000
    pause_ms "$drawn"
    fault_of "$hosts" '{"down":0}'
    record hosts hosts hosts_down false "$from"
  else
    # The list lags while an agent is replaced at a new address.
    draw 300 1500
    fault_of "$hosts" "{\"lag_ms\":$drawn}"
    pick "${agents[@]}"
    if [ "$phase" = planned ]; then replace "$picked"; else kill_process "$picked"; fi
    fault_of "$hosts" '{"lag_ms":0}'
    publish_hosts
    record hosts hosts hosts_lag false "$from"
  fi
}
disturb_target() {
  local from name fault
  pick "${engines[@]}" "${services[@]}"
  name=$picked
  draw 1 4
  case $name in
    engine*) pick "{\"break_after\":$drawn}" '{"refuse":1}' '{"token_ms":25}' ;;
    *) pick "{\"break\":$drawn}" "{\"refuse\":$drawn}" '{"delay_ms":150}' ;;
  esac
  fault=$picked
  from=$(now_ms)
  fault_of "${address[$name]}" "$fault"
  draw 200 1000
  pause_ms "$drawn"
  fault_of "${address[$name]}" '{"break_after":0,"refuse":0,"token_ms":0,"break":0,"delay_ms":0}'
  # A request that the fault still delays is inside the fault's time.
  pause_ms 50
  record "$(part_of "$name")" "$name" target_fault false "$from"
}
pick() { # sets `picked`
  local choices=("$@")
  draw 0 $(($# - 1))
  picked=${choices[drawn]}
}

failed_stops=0
: >"$work/faults.jsonl"
# The calls go on for a third of the time with planned stops only, so that no other fault can
# excuse an answer that breaks.
from=$SECONDS
call call $((seconds * 1000)) &
callers=$!
started+=("$callers")
phase=planned
while [ $((SECONDS - from)) -lt $((seconds / 3)) ]; do
  draw 0 9
  case $drawn in
    [0-3]) pick entry1 entry2 && replace "$picked" ;;
    [4-6]) pick "${agents[@]}" && replace "$picked" ;;
    [78]) pick "${engines[@]}" "${services[@]}" && replace_target "$picked" ;;
    9) disturb_hosts ;;
  esac
  draw 50 400
  pause_ms "$drawn"
done
phase=faults
# The faults of the log and of targets overlap those of processes. They run beside them with a
# generator of their own, so that both schedules follow from the seed.
disturb() {
  RANDOM=$(((seed + 16384) % 32768))
  while [ $((SECONDS - from)) -lt "$seconds" ]; do
    draw 0 9
    if [ "$drawn" -lt 5 ]; then disturb_log; else disturb_target; fi
    draw 50 600
    pause_ms "$drawn"
  done
}
disturb &
disturber=$!
started+=("$disturber")
while [ $((SECONDS - from)) -lt "$seconds" ]; do
  draw 0 19
  case $drawn in
    [0-2]) pick "${engines[@]}" && kill_process "$picked" ;;
    [3-5]) pick "${services[@]}" && kill_process "$picked" ;;
    [6-8]) pick "${agents[@]}" && kill_process "$picked" ;;
    9) pick entry1 entry2 && kill_process "$picked" ;;
    1[0-2]) pick "${agents[@]}" "${engines[@]}" "${services[@]}" entry1 entry2 && pause_process "$picked" ;;
    13) disturb_hosts ;;
    14) pick "${engines[@]}" "${services[@]}" && kill_two "$picked" "$picked-agent" ;;
    15) kill_two booking1-agent booking2-agent ;;
    16) pick "${agents[@]}" && kill_two "$picked" entry1 ;;
    17 | 18) pick "${agents[@]}" entry1 entry2 && replace "$picked" ;;
    19) pick "${engines[@]}" "${services[@]}" && replace_target "$picked" ;;
  esac
  draw 20 200
  pause_ms "$drawn"
done
wait "$disturber"
wait "$callers"

# --- after the last fault
call probe 30000 || true
for name in "${engines[@]}"; do
  report_engine "$name"
done
for name in "${services[@]}"; do
  printf '{"event":"run_count","service":"%s","runs":%s}\n' "$name" \
    "$(curl -fsS --max-time 5 "http://${address[$name]}/runs")" >>"$work/reports.jsonl"
done
verdict=0
"$rehearse" check "$work"/{history,faults,reports}.jsonl "$work"/runs-*.jsonl || verdict=$?
echo "planned_stops_cut_off=$failed_stops"
if [ "$failed_stops" != 0 ]; then
  verdict=1
fi
echo "rehearsal=ended seed=$seed verdict=$verdict"
exit "$verdict"
