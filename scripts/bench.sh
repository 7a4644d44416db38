#!/usr/bin/env bash
# Runs scenes against guavaspring and against a plain baseline, interleaved in one run, and prints one table.
# SCENE names one scene or several, or "faults" for those that are not in the usual table; ROUNDS is how often each is
# run. What it starts it stops, by pid.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT="${OUT:-$PWD/.out/bench}"
LOGS="$OUT/logs"
ROUNDS="${ROUNDS:-2}"
ALL="healthy slow_replica shard_gone overload hot_caller cold_restart host_killed platform_down cost"
FAULTS="repartition silent drain crash_request lost_replies"
SCENES="${SCENE:-$ALL}"
if [ "$SCENES" = faults ]; then SCENES="$FAULTS"; fi
SETTLE=1
mkdir -p "$LOGS"
. scripts/lib.sh
trap stop_all EXIT

SHARDS=10
REPLICAS=3
HOSTS=3

# one_baseline N starts host N of the baseline and sets PID.
one_baseline() {
  start "baseline-$1" "$BIN/load" baseline --listen="127.0.0.1:$((BASE_PORT + $1))" --platform="$PLATFORM" --seats=5
}

# one_host POLICY N starts host N of a policy and notes its pid.
one_host() {
  if [ "$1" = guavaspring ]; then
    entry "$2"
  else
    one_baseline "$2"
  fi
  HOST_PID["$1-$2"]=$PID
}

port_of() {
  if [ "$1" = guavaspring ]; then echo $((ENTRY_BASE + $2)); else echo $((BASE_PORT + $2)); fi
}

start_all() {
  local first
  first="$("$BIN/load" ports 60)"
  PLATFORM="127.0.0.1:$first"
  ENTRY_BASE=$((first + 1))
  PEER_BASE=$((first + 6))
  BASE_PORT=$((first + 11))
  FINDER="127.0.0.1:$((first + 20))"
  DESK="127.0.0.1:$((first + 52))"
  declare -gA HOST_PID=()
  start platform "$BIN/standin" platform --listen="$PLATFORM"
  INDEX_VERSION=1
  INDEX_SHARDS="$SHARDS"
  until_ok "the platform answers" apply examples/remnant-finder.yaml
  upstream remnant-finder "$FINDER" --shards="$SHARDS" --replicas="$REPLICAS" --slots=5 --connections=40 \
    --connect-cost=6ms --service-time=40ms --jitter=0.1 --zones=osborne-hall,picton-shed,webberton-room
  apply examples/donor-desk.yaml >/dev/null
  upstream donor-desk "$DESK" --shards=1 --replicas=6 --slots=6 --connections=100 --connect-cost=1ms --service-time=10ms \
    --zones=osborne-hall,picton-shed,webberton-room
  for policy in guavaspring baseline; do
    for n in $(seq 0 $((HOSTS - 1))); do one_host "$policy" "$n"; done
  done
}

all_answer() {
  for policy in guavaspring baseline; do
    for n in $(seq 0 $((HOSTS - 1))); do
      until_ok "host $n of $policy answers over all shards" answers_whole "127.0.0.1:$(port_of "$policy" "$n")" remnant-finder || return 1
    done
  done
}

# act ACTION POLICY does to the hosts what the scene asks for, while the load runs.
act() {
  case "$1" in
  kill_host)
    sleep 3.5
    kill_hard "${HOST_PID["$2-2"]}"
    ;;
  repartition)
    local shards=15
    if [ "$INDEX_SHARDS" = 15 ]; then shards=10; fi
    sleep 2.5
    "$BIN/standin" index --base="$FINDER" --replicas=$((SHARDS * REPLICAS)) --old-version="$INDEX_VERSION" --old-shards="$INDEX_SHARDS" \
      --index-version=$((INDEX_VERSION + 1)) --shards="$shards" --step=50ms --overlap=1s
    INDEX_VERSION=$((INDEX_VERSION + 1))
    INDEX_SHARDS="$shards"
    ;;
  replace_hosts)
    for n in $(seq 0 $((HOSTS - 1))); do
      sleep 2.5
      kill -TERM "${HOST_PID["$2-$n"]}"
      wait "${HOST_PID["$2-$n"]}" || true
      one_host "$2" "$n"
    done
    ;;
  esac
}

# run POLICY ROUND SCENE ARGS... runs one scene once against one policy.
run() {
  local policy="$1" round="$2" scene="$3" hosts="" pids=()
  shift 3
  for n in $(seq 0 $((HOSTS - 1))); do
    hosts+="${hosts:+,}127.0.0.1:$(port_of "$policy" "$n")"
    pids+=(--pid="${HOST_PID["$policy-$n"]}")
  done
  "$BIN/load" run --scene="load/scenes/$scene.yaml" --policy="$policy" --round="$round" --seed="$round" --out="$OUT" \
    --hosts="$hosts" --fleet="remnant-finder=$FINDER+$((SHARDS * REPLICAS))" --fleet="donor-desk=$DESK+6" --platform="$PLATFORM" "${pids[@]}" "$@" \
    >>"$LOGS/$scene-$policy.txt" 2>&1 &
  LOAD=$!
  PIDS+=("$LOAD")
}

# finish waits for the run; an untrue answer (status 3) is kept in the figures and told by the table.
finish() {
  local status=0
  wait "$LOAD" || status=$?
  if [ "$status" != 0 ] && [ "$status" != 3 ]; then
    echo "a run of $1 ended with status $status; see $LOGS" >&2
    FAILED=1
  fi
}

bench_scene() {
  local scene="$1" action policies="guavaspring baseline"
  if grep -q '^policies: \[guavaspring\]' "load/scenes/$scene.yaml"; then policies=guavaspring; fi
  action="$(sed -n 's/^action: //p' "load/scenes/$scene.yaml")"
  echo "$scene: $(sed -n 's/^about: //p' "load/scenes/$scene.yaml")"
  rm -rf "${OUT:?}/$scene" "$OUT/$scene.reference"
  start_all || return 1
  all_answer || return 1
  for round in $(seq "$ROUNDS"); do
    for policy in $policies; do
      if grep -q '^reference:' "load/scenes/$scene.yaml"; then
        run "$policy" "$round" "$scene" --reference
        finish "$scene"
      fi
      run "$policy" "$round" "$scene"
      if [ -n "$action" ]; then act "$action" "$policy"; fi
      finish "$scene"
      if [ "$action" = kill_host ]; then one_host "$policy" 2; fi
      sleep "$SETTLE"
      all_answer || return 1
    done
  done
  stop_all
}

# machine says how busy the machine is, since figures depend on it.
machine() {
  echo "$1: load average $(cut -d' ' -f1-3 /proc/loadavg) on $(nproc) processors"
}

FAILED=0
FILES=()
machine "at the start"
for scene in $SCENES; do
  if [ ! -f "load/scenes/$scene.yaml" ]; then
    echo "no scene $scene; there are: $ALL $FAULTS" >&2
    exit 2
  fi
  # A scene whose hosts don't come up stands in the table with the rounds that were run, and fails the bench.
  if ! bench_scene "$scene"; then
    echo "scene $scene was cut short: its hosts did not come up" >&2
    FAILED=1
    mkdir -p "$LOGS/$scene"
    cp "$LOGS"/*.log "$LOGS/$scene"
    stop_all
  fi
  FILES+=("load/scenes/$scene.yaml")
done
echo
"$BIN/load" table --out="$OUT" "${FILES[@]}"
machine "at the end"
echo "figures, plots and logs are in $OUT"
exit "$FAILED"
