# Functions that start the programs on loopback ports which the system chooses. Sourced by
# demo.sh; the caller sets `programs` (folder with the programs) and `work` (a temporary folder).

started=()

# Starts a program in the background; its log goes to $work/NAME.log. Sets `last_pid`.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  last_pid=$!
  started+=("$last_pid")
  printf '%s\n' "$last_pid" >"$work/$name.pid"
}

pid_of() { cat "$work/$1.pid"; }

# Prints the address of a purpose that a program logged, waiting for it.
address_of() {
  local name=$1 purpose=$2 line
  for _ in $(seq 200); do
    line=$(grep -m1 "event=listening purpose=$purpose " "$work/$name.log" 2>/dev/null || true)
    if [ -n "$line" ]; then
      sed 's/.* address=\([^ ]*\).*/\1/' <<<"$line"
      return 0
    fi
    sleep 0.05
  done
  echo "no address of $name ($purpose)" >&2
  cat "$work/$name.log" >&2
  return 1
}

# Waits until a command succeeds, at most 15 seconds.
wait_until() {
  for _ in $(seq 300); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
  done
  echo "gave up waiting for: $*" >&2
  return 1
}

# Ends everything that was started, by process id.
stop_all() {
  local pid
  for pid in "${started[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  for pid in "${started[@]}"; do
    for _ in $(seq 60); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.05
    done
    kill -9 "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}

start_standin() {
  local name=$1
  shift
  start "$name" "$programs/standin/pimentospar-standin" "$@"
}

# write_settings NAME ROLE REGION DATA_CENTRE [TARGET TARGET_ADDRESS]
write_settings() {
  local name=$1 role=$2 region=$3 data_centre=$4 target=${5:-} target_address=${6:-}
  {
    printf 'role = "%s"\nhost = "%s"\nregion = "%s"\ndata_centre = "%s"\ndrain_limit_ms = 20000\n' \
      "$role" "$name" "$region" "$data_centre"
    printf 'grant_lifetime_ms = %s\n' "${grant_lifetime_ms:-60000}"
    printf '[address]\noperator = "127.0.0.1:0"\nrpc = "127.0.0.1:0"\ngossip = "127.0.0.1:0"\n'
    [ "$role" = entry ] && printf 'caller = "127.0.0.1:0"\n'
    printf '[platform]\nlog = "%s"\nhosts = "%s"\nstore = "%s"\n' "$log" "$hosts" "$store"
    printf '[operator]\ntoken_sha256 = "%s"\n' "$(printf '%s' "$operator_token" | sha256sum | cut -d' ' -f1)"
    printf '[interval]\nhosts_ms = 100\nconfig_ms = 100\nstate_ms = 100\n'
    if [ -n "$target" ]; then
      printf '[target]\nid = "%s"\naddress = "%s"\n' "$target" "$target_address"
    fi
  } >"$work/$name.toml"
}

start_daemon() {
  local name=$1
  start "$name" "$programs/src/pimentospard" --settings "$work/$name.toml"
}

is_ready() { curl -fsS --max-time 2 "http://$1/readyz"; }

metric() {
  curl -fsS --max-time 5 -H "Authorization: Bearer $operator_token" "http://$1/metrics" |
    awk -v name="$2" '$1 == name {print $2}'
}
