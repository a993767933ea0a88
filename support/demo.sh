#!/usr/bin/env bash
# Starts the whole system on loopback, sends requests through it while a target stops, and ends
# everything again. Exits 0 only if every answer was right.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${DEMO_SKIP_BUILD:-}" != 1 ]; then
  support/setup.sh >/dev/null
  cmake -G Ninja -B build >/dev/null
  ninja -C build pimentospard pimentosparctl pimentospar-standin >/dev/null
fi
programs=$PWD/build
work=$(mktemp -d)
# shellcheck source=support/lib.sh
. support/lib.sh
trap 'stop_all; rm -rf "$work"' EXIT
operator_token=operator-secret
caller_token=caller-secret
# The owner of the fallback share gives no load for this long after its start.
grant_lifetime_ms=4000

failures=0
say() { printf '%s\n' "$*"; }
check() {
  local what=$1
  shift
  if "$@"; then
    say "ok    $what"
  else
    say "WRONG $what"
    failures=$((failures + 1))
  fi
}

start_standin log log
start_standin hosts hosts
start_standin store store --load-ms 50 --loads-per-second 2 --parallel-loads 3
log=$(address_of log standin)
hosts=$(address_of hosts standin)
store=$(address_of store standin)

regions=(north north south)
for i in 1 2 3; do
  start_standin "engine$i" engine --memory-bytes 1000 --token-ms 10 --loaded lichen=400,moss=400 \
    --store "$store"
done
for i in 1 2; do
  start_standin "booking$i" service
done

document=$(cat <<JSON
{"deployment":"demo","regions":[{"id":"north","data_centres":["north-1"]},
{"id":"south","data_centres":["south-1"]}],
"owners":[{"id":"care","token_hashes":["$(printf '%s' "$caller_token" | sha256sum | cut -d' ' -f1)"]}],
"models":[{"id":"lichen","weight_bytes":400,"owner":"care"},
{"id":"moss","weight_bytes":400,"owner":"care"},
{"id":"fern","weight_bytes":500,"owner":"care"}],
"store":{"loads_per_second":2,"parallel_loads":3},
"services":[{"id":"booking","home_region":"north","operations":[{"id":"create"},
{"id":"find","idempotent":true}]}],
"targets":[
{"id":"engine1","region":"north","data_centre":"north-1","memory_bytes":1000},
{"id":"engine2","region":"north","data_centre":"north-1","memory_bytes":1000},
{"id":"engine3","region":"south","data_centre":"south-1","memory_bytes":1000},
{"id":"booking1","region":"north","data_centre":"north-1","kind":"service","service":"booking"},
{"id":"booking2","region":"south","data_centre":"south-1","kind":"service","service":"booking"}]}
JSON
)
ctl() { "$programs/src/pimentosparctl" "$@"; }
printf '%s\n' "$document" >"$work/first.json"
quiet() { "$@" >/dev/null; }
check "pimentosparctl proposes the first configuration" quiet \
  ctl config propose --log "$log" --base none --author demo "$work/first.json"

rows=()
add_host() { rows+=("{\"id\":\"$1\",\"role\":\"$2\",\"region\":\"$3\",\"data_centre\":\"$3-1\",\"address\":\"$4\",\"gossip\":\"$(address_of "$1" gossip)\",\"target\":\"$5\",\"state\":\"live\"}"); }
publish_hosts() {
  local IFS=,
  curl -fsS -X PUT --data "{\"hosts\":[${rows[*]}]}" "http://$hosts/hosts" >/dev/null
}

for i in 1 2 3; do
  write_settings "agent$i" agent "${regions[i - 1]}" "${regions[i - 1]}-1" "engine$i" \
    "$(address_of "engine$i" standin)"
  start_daemon "agent$i"
done
write_settings agent4 agent north north-1 booking1 "$(address_of booking1 standin)"
write_settings agent5 agent south south-1 booking2 "$(address_of booking2 standin)"
start_daemon agent4
start_daemon agent5
for i in 1 2 3; do
  add_host "agent$i" agent "${regions[i - 1]}" "$(address_of "agent$i" rpc)" "engine$i"
done
add_host agent4 agent north "$(address_of agent4 rpc)" booking1
add_host agent5 agent south "$(address_of agent5 rpc)" booking2
publish_hosts

for i in 1 2; do
  region=$([ "$i" = 1 ] && echo north || echo south)
  write_settings "entry$i" entry "$region" "$region-1"
  start_daemon "entry$i"
done
for name in entry1 entry2 agent1 agent2 agent3 agent4 agent5; do
  wait_until is_ready "$(address_of "$name" operator)"
done
entry1=$(address_of entry1 caller)
entry2=$(address_of entry2 caller)
say "started: 2 entries, 5 targets with their agents, 3 platform stand-ins"

call() {
  local entry=$1 path=$2 body=$3
  shift 3
  curl -sS --max-time 30 -H "Authorization: Bearer $caller_token" \
    -H 'Content-Type: application/json' "$@" --data "$body" "http://$entry$path"
}
tokens() { grep -o 't[0-9]*-[0-9a-f]\{4\}' | sed 's/-.*//' | tr '\n' ' '; }
expected() { seq -f 't%.0f' 0 $(($1 - 1)) | tr '\n' ' '; }
chat='{"model":"lichen","max_tokens":20,"messages":[{"role":"user","content":"why lichen?"}]'

plain=$(call "$entry1" /v1/chat/completions "$chat}")
check "a plain chat answer is whole (20 tokens)" [ "$(tokens <<<"$plain")" = "$(expected 20)" ]
streamed=$(call "$entry2" /v1/chat/completions "$chat,\"stream\":true}" -N)
check "a streamed answer through the other entry is whole" \
  [ "$(tokens <<<"$streamed")" = "$(expected 20)" ]
check "the stream ends with [DONE]" grep -q '^data: \[DONE\]' <<<"$streamed"
text_of() { grep -o 't[0-9]*-[0-9a-f]\{4\}' <<<"$1" | tr '\n' ' '; }
check "both answers are the same" [ "$(text_of "$plain")" = "$(text_of "$streamed")" ]

booking='{"grave":"K-17","day":"2026-12-11"}'
find=$(call "$entry1" /v1/services/booking/find "$booking")
check "an operation that may be repeated is answered" grep -q '"operation":"find"' <<<"$find"
first=$(call "$entry1" /v1/services/booking/create "$booking" -H 'Idempotency-Key: visit-1')
again=$(call "$entry2" /v1/services/booking/create "$booking" -H 'Idempotency-Key: visit-1')
other=$(call "$entry2" /v1/services/booking/create '{"grave":"K-18"}' -H 'Idempotency-Key: visit-1')
say "      booking: $first"
check "a booking is answered" grep -q '"number":' <<<"$first"
check "its repeat through the other entry gets the same answer" [ "$first" = "$again" ]
check "the same key with another body is refused" grep -q '"reason":"key_reused"' <<<"$other"
runs() { for i in 1 2; do curl -fsS "http://$(address_of "booking$i" standin)/runs"; done; }
check "the booking ran once in all" [ "$(runs | grep -o '"visit-1":1' | wc -l)" = 1 ]
log_fault() { curl -fsS --data "$1" "http://$log/faults" >/dev/null; }
log_fault '{"down":1}'
refused=$(call "$entry1" /v1/services/booking/create "$booking" -H 'Idempotency-Key: visit-2')
check "with the log down a new booking is refused as not run" \
  grep -q '"executed":"no"' <<<"$refused"
check "with the log down a repeat still gets its answer" \
  [ "$first" = "$(call "$entry1" /v1/services/booking/create "$booking" -H 'Idempotency-Key: visit-1')" ]
log_fault '{"down":0,"lose_answer":1}'
lost=$(call "$entry1" /v1/services/booking/create "$booking" -H 'Idempotency-Key: visit-3')
check "a booking whose claim's answer is lost is settled by reading" grep -q '"number":' <<<"$lost"
check "no key ran twice" [ "$(runs | grep -c ':[2-9]')" = 0 ]

fern='{"model":"fern","max_tokens":20,"messages":[{"role":"user","content":"which fern?"}]}'
fresh=$(call "$entry1" /v1/chat/completions "$fern" -H 'Deadline-Ms: 25000')
check "a model that no engine had loaded is loaded on demand and answers" \
  [ "$(tokens <<<"$fresh")" = "$(expected 20)" ]
states() { for i in 1 2 3; do curl -fsS "http://$(address_of "engine$i" standin)/state"; echo; done; }
check "one engine holds it" [ "$(states | grep -c '"item":"fern"')" = 1 ]
check "it made room by unloading one copy" \
  [ "$(states | grep -o '"item":"\(lichen\|moss\)"' | wc -l)" = 5 ]
for model in lichen moss; do
  check "$model is still loaded somewhere" grep -q "\"item\":\"$model\"" <<<"$(states)"
done
check "no engine overcommitted its memory" [ "$(states | grep -c '"overcommitted":false')" = 3 ]
stats=$(curl -fsS "http://$store/stats")
say "      store: $stats"
check "the store carried one load, within its limit" grep -q '"loads":1,.*"most_parallel":1,' <<<"$stats"

long='{"model":"moss","max_tokens":200,"stream":true,"messages":[{"role":"user","content":"a plan"}]}'
call "$entry1" /v1/chat/completions "$long" -N >"$work/long.out" &
caller=$!
wait_until grep -q t20- "$work/long.out"
busy=
for i in 1 2 3; do
  running=$(curl -fsS "http://$(address_of "engine$i" standin)/state" |
    sed 's/.*"running":\([0-9]*\).*/\1/')
  [ "$running" != 0 ] && busy=$i
done
kill -9 "$(pid_of "engine$busy")"
say "      killed engine$busy in the middle of a stream"
wait "$caller" || true
if grep -q '^data: \[DONE\]' "$work/long.out"; then
  check "the stream went on at another target, without gap or repeat" \
    [ "$(tokens <"$work/long.out")" = "$(expected 200)" ]
else
  check "the stream ended with a true error" grep -q '"executed":"unknown"' "$work/long.out"
fi

check "an unknown model has its own reason" grep -q '"reason":"unknown_model"' \
  <<<"$(call "$entry1" /v1/chat/completions '{"model":"granite","messages":[{"role":"user","content":"x"}]}')"
check "malformed JSON has its own reason" grep -q '"reason":"malformed_json"' \
  <<<"$(call "$entry1" /v1/chat/completions '{')"

spare=$([ "$busy" = 1 ] && echo 2 || echo 1)
call "$entry1" /v1/chat/completions "$long" -N >"$work/drain.out" &
caller=$!
wait_until grep -q t20- "$work/drain.out"
# Comes before the stop, which the agent would not log if the hangup ended it.
kill -HUP "$(pid_of "agent$spare")"
wait_until grep -q event=hangup_ignored "$work/agent$spare.log" || true
check "a hangup does not end an agent" kill -0 "$(pid_of "agent$spare")"
kill "$(pid_of "agent$spare")"
wait "$caller" || true
check "a stream during a planned stop is whole" \
  [ "$(tokens <"$work/drain.out")" = "$(expected 200)" ]
stopped() { ! kill -0 "$(pid_of "agent$spare")"; }
wait_until stopped
check "the agent drained and cut off nothing" grep -q event=drain_completed "$work/agent$spare.log"

# The killed engine and the stopped agent start again, so that three targets serve lichen and moss.
restart_engine() {
  start_standin "engine$1" engine --address "$2" --memory-bytes 1000 --token-ms 10 \
    --loaded lichen=400,moss=400 --store "$store"
}
restart_engine "$busy" "$(address_of "engine$busy" standin)"
start_daemon "agent$spare"
rows[spare - 1]=
add_host "agent$spare" agent "${regions[spare - 1]}" "$(address_of "agent$spare" rpc)" "engine$spare"
rows[spare - 1]=${rows[-1]}
unset 'rows[-1]'
publish_hosts
wait_until is_ready "$(address_of "agent$spare" operator)"
wait_until is_ready "$(address_of "agent$busy" operator)"

cancels() {
  local i total=0 shown
  for i in 1 2 3; do
    shown=$(curl -fsS "http://$(address_of "engine$i" standin)/state" |
      sed 's/.*"cancels":\([0-9]*\).*/\1/')
    total=$((total + shown))
  done
  echo "$total"
}
cancels_before=$(cancels)
# Without --max-time of `call`, and in this shell, so that its id is that of curl.
curl -sS -N -H "Authorization: Bearer $caller_token" -H 'Content-Type: application/json' \
  --data "$long" "http://$entry1/v1/chat/completions" >"$work/gone.out" &
caller=$!
wait_until grep -q t20- "$work/gone.out"
kill "$caller"
wait "$caller" 2>/dev/null || true
was_cancelled() { [ "$(cancels)" -gt "$cancels_before" ]; }
check "a caller that disconnects in mid-stream cancels the stream at the engine" \
  wait_until was_cancelled

crashes=0
poison='{"model":"lichen","max_tokens":5,"messages":[{"role":"user","content":"poison"}]}'
revive() {
  local i
  for i in 1 2 3; do
    kill -0 "$(pid_of "engine$i")" 2>/dev/null && continue
    crashes=$((crashes + 1))
    restart_engine "$i" "$(cat "$work/engine$i.address")"
  done
}
for i in 1 2 3; do
  address_of "engine$i" standin >"$work/engine$i.address"
done
crashed=$(call "$entry1" /v1/chat/completions "$poison")
check "a request that crashes its targets ends with a true error" \
  grep -q '"executed":"unknown"' <<<"$crashed"
say "      $crashed"
# Its caller sends it again while targets come back.
for _ in 1 2 3; do
  revive
  quarantined=$(call "$entry1" /v1/chat/completions "$poison")
  grep -q '"reason":"request_quarantined"' <<<"$quarantined" && break
done
revive
say "      it crashed $crashes targets"
check "sent again, it is refused as quarantined" \
  grep -q '"reason":"request_quarantined"' <<<"$quarantined"
check "it crashed 1 to 3 targets in all" [ "$crashes" -ge 1 -a "$crashes" -le 3 ]
check "the refusal is counted" \
  [ "$(metric "$(address_of entry1 operator)" 'pimentospar_refusals_total{reason="request_quarantined"}')" -ge 1 ]
after=$(call "$entry1" /v1/chat/completions "$chat}" -H 'Deadline-Ms: 20000')
check "other requests are served as soon as a target is back" \
  [ "$(tokens <<<"$after")" = "$(expected 20)" ]
call "$entry1" /v1/chat/completions "$poison" >/dev/null
crashes_before=$crashes
revive
check "the refused request crashed nothing more" [ "$crashes" = "$crashes_before" ]

printf '[{"op":"replace","path":"/deployment","value":"demo-2"}]' >"$work/patch.json"
check "a change of the configuration is accepted" quiet \
  ctl config propose --log "$log" --base 1 --author alice "$work/patch.json"
race() { ctl config propose --log "$log" --base 1 --author bob "$work/patch.json" >"$work/race.out" 2>&1; }
check "a change on the old version is told that it was overtaken" \
  [ "$(race; echo $?)" = 3 ]
in_force() {
  PIMENTOSPAR_TOKEN=$operator_token ctl config status --json \
    --process "$(address_of entry1 operator)" --process "$(address_of entry2 operator)" \
    >"$work/status.out" 2>&1 &&
    [ "$(grep -o '"config_version":"2"' "$work/status.out" | wc -l)" = 2 ]
}
check "the new version is in force at both entries" wait_until in_force
check "the history verifies" quiet ctl config verify --log "$log"

for i in 1 2; do
  operator=$(address_of "entry$i" operator)
  say "      entry$i: requests=$(metric "$operator" pimentospar_requests_started_total)" \
    "completed=$(metric "$operator" pimentospar_requests_completed_total)" \
    "attempts=$(metric "$operator" pimentospar_attempts_started_total)" \
    "resumed=$(metric "$operator" pimentospar_streams_resumed_total)" \
    "unknown_model=$(metric "$operator" 'pimentospar_refusals_total{reason="unknown_model"}')"
done
say "$failures wrong"
[ "$failures" = 0 ]
