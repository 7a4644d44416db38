#!/usr/bin/env bash
# Tries load compare: runs without any change at three rates, and runs with planted regressions.
# What it starts it stops, by pid.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT="${OUT:-$PWD/.out/compare}"
LOGS="$OUT/logs"
mkdir -p "$LOGS"
. scripts/lib.sh
trap stop_all EXIT

FIRST="$("$BIN/load" ports 60)"
PLATFORM="127.0.0.1:$FIRST"
ENTRY_BASE=$((FIRST + 1))
PEER_BASE=$((FIRST + 6))
FINDER="127.0.0.1:$((FIRST + 20))"
start platform "$BIN/standin" platform --listen="$PLATFORM"
until_ok "the platform answers" apply examples/remnant-finder.yaml
upstream remnant-finder "$FINDER" --service-time=40ms --jitter=0.1
for n in 0 1 2; do entry "$n"; done
for n in 0 1 2; do until_ok "host $n answers" answers_whole "127.0.0.1:$((ENTRY_BASE + n))" remnant-finder; done

EVERY="$(seq -s, 0 29)"
# one NAME RATE ROUND FAULT runs once.
one() {
  local scene="$OUT/$1.yaml"
  printf 'name: %s\nrate: %s\nduration: 8s\nfaults:\n  - {at: 0s, service: remnant-finder, replicas: [%s], set: %s}\n' "$1" "$2" "$EVERY" "$4" >"$scene"
  "$BIN/load" run --scene="$scene" --round="$3" --seed="$3" --out="$OUT" --fleet="remnant-finder=$FINDER+30" \
    --hosts="127.0.0.1:$ENTRY_BASE,127.0.0.1:$((ENTRY_BASE + 1)),127.0.0.1:$((ENTRY_BASE + 2))" >>"$LOGS/runs.txt" 2>&1
}

ROUND=0
CLEAN=()
for rate in 90 110 130; do
  for _ in 1 2 3; do
    ROUND=$((ROUND + 1))
    one clean "$rate" "$ROUND" '{slow: 1}'
    CLEAN+=("$OUT/clean/guavaspring-$ROUND.csv")
  done
done
ROUND=0
for rate in 90 110 130; do
  for _ in 1 2; do
    ROUND=$((ROUND + 1))
    one all_3_percent_slower "$rate" "$ROUND" '{slow: 1.03}'
    one all_8_percent_slower "$rate" "$ROUND" '{slow: 1.08}'
    one one_in_200_tries_3x "$rate" "$ROUND" '{straggler_share: 0.005, straggler_factor: 3}'
  done
done
# verdict NAME FILE... compares one run with earlier ones and prints what came out.
verdict() {
  local name="$1"
  shift
  echo "$name: $("$BIN/load" compare "$@" 2>&1 | tr '\n' ';')"
}
for i in "${!CLEAN[@]}"; do
  others=("${CLEAN[@]:0:i}" "${CLEAN[@]:i+1}")
  verdict "no change" "${others[@]}" "${CLEAN[$i]}"
done
for name in all_3_percent_slower all_8_percent_slower one_in_200_tries_3x; do
  for i in $(seq "$ROUND"); do verdict "$name" "${CLEAN[@]}" "$OUT/$name/guavaspring-$i.csv"; done
done
