#!/usr/bin/env bash
# Starts the platform, two services and three entry hosts on loopback addresses, runs queries and writes for ten
# seconds, kills one replica and one entry host meanwhile, and reports. It exits non-zero when an answer lied, a
# write ran twice or an answer mixed snapshots. What it starts it stops, by pid.
set -euo pipefail
cd "$(dirname "$0")/.."
LOGS="$PWD/.out/demo/logs"
mkdir -p "$LOGS"
. scripts/lib.sh
trap stop_all EXIT

SHARDS=6
FIRST="${DEMO_PORT:-$("$BIN/load" ports 60)}"
PLATFORM="127.0.0.1:$FIRST"
ENTRY_BASE=$((FIRST + 1))
PEER_BASE=$((FIRST + 6))
FINDER="127.0.0.1:$((FIRST + 20))"
DESK="127.0.0.1:$((FIRST + 50))"
ZONES="osborne-hall,picton-shed,webberton-room"
VICTIM="remnant-finder-3-1"

echo "platform on $PLATFORM, remnant-finder ($SHARDS shards x 3 replicas), donor-desk (6 replicas), 3 entry hosts from port $ENTRY_BASE"
start platform "$BIN/standin" platform --listen="$PLATFORM"
until_ok "the platform answers" apply examples/remnant-finder.yaml
apply examples/donor-desk.yaml
FINDER_FLAGS=(--shards="$SHARDS" --replicas=3 --zones="$ZONES" --slots=5 --connections=40 --connect-cost=6ms --service-time=10ms)
upstream remnant-finder "$FINDER" "${FINDER_FLAGS[@]}" --except="$VICTIM"
SUFFIX=-victim upstream remnant-finder "$FINDER" "${FINDER_FLAGS[@]}" --only="$VICTIM"
VICTIM_PID=$PID
upstream donor-desk "$DESK" --shards=1 --replicas=6 --zones="$ZONES" --slots=6 --connections=100 --connect-cost=1ms --service-time=5ms
ENTRY_PIDS=()
for n in 0 1 2; do
  entry "$n"
  ENTRY_PIDS+=("$PID")
done
for n in 0 1 2; do
  until_ok "entry host $n answers over all shards" answers_whole "127.0.0.1:$((ENTRY_BASE + n))" remnant-finder
  until_ok "entry host $n knows donor-desk" answers_whole "127.0.0.1:$((ENTRY_BASE + n))" donor-desk
done

echo "queries and writes for ten seconds; replica $VICTIM is killed after 4 s, entry host 2 after 6 s"
STATUS=0
"$BIN/load" run --scene=load/scenes/demo.yaml --out=.out/demo --explain \
  --hosts="127.0.0.1:$ENTRY_BASE,127.0.0.1:$((ENTRY_BASE + 1)),127.0.0.1:$((ENTRY_BASE + 2))" \
  --fleet="remnant-finder=$FINDER+$((SHARDS * 3))" --fleet="donor-desk=$DESK+6" >"$LOGS/report.txt" 2>&1 &
LOAD=$!
PIDS+=("$LOAD")
sleep 4
kill_hard "$VICTIM_PID"
sleep 2
kill_hard "${ENTRY_PIDS[2]}"
wait "$LOAD" || STATUS=$?
cat "$LOGS/report.txt"
echo "logs and figures are in .out/demo"
exit "$STATUS"
