#!/usr/bin/env bash
# capacity_queries measures what queries cost one entry host against the number of shards: processor time a query and
# a try, resident memory, and connections held. One host, two replicas of each shard, real processes on loopback.
# It writes .out/capacity-queries.csv and prints it. SHARDS="..." and RATE=queries a second choose other runs.
set -euo pipefail
cd "$(dirname "$0")/.."
export LOGS="$PWD/.out/capacity-logs"
mkdir -p "$LOGS"
. scripts/lib.sh
trap stop_all EXIT

SHARDS="${SHARDS:-10 30 69}"
RATE="${RATE:-40}"
REPLICAS=2
CSV=.out/capacity-queries.csv
SCENE=.out/capacity-queries.yaml
printf 'name: capacity-queries\nabout: a steady load\nrate: %s\nduration: 10s\naims:\n  - {measure: complete_share, at_least: 0.99}\n' "$RATE" >"$SCENE"

# metric ADDR NAME prints the sum of a metric of a host over its labels.
metric() { curl -sf "http://$1/metrics" | awk -v name="$2" '{ split($1, part, "{") } part[1] == name { n += $2 } END { printf "%.6f", n }'; }

echo "shards,replicas,queries,rss_idle_mb,rss_loaded_mb,cpu_ms_per_query,cpu_us_per_try" | tee "$CSV"
for shards in $SHARDS; do
  count=$((shards * REPLICAS))
  first=$("$BIN/load" ports $((count + 20)))
  PLATFORM="127.0.0.1:$first"
  ENTRY_BASE=$((first + 1))
  PEER_BASE=$((first + 6))
  fleet="127.0.0.1:$((first + 20))"
  host="127.0.0.1:$ENTRY_BASE"
  document=.out/capacity-queries-document.yaml
  printf 'service: remnant-finder\ndeadline:\n  default: 400ms\n' >"$document"
  start "platform" "$BIN/standin" platform --listen="$PLATFORM"
  until_ok "the platform answers" "$BIN/gsctl" --platform="$PLATFORM" apply "$document"
  upstream remnant-finder "$fleet" --shards="$shards" --replicas="$REPLICAS" --service-time=5ms
  entry 0
  until_ok "the host answers over all shards" answers_whole "$host" remnant-finder
  idle=$(metric "$host" process_resident_memory_bytes)
  cpu=$(metric "$host" process_cpu_seconds_total)
  before=$(metric "$host" guavaspring_requests_total)
  "$BIN/load" run --scene="$SCENE" --hosts="$host" --fleet="remnant-finder=$fleet+$count" --out=.out/capacity-queries >"$LOGS/queries-$shards.txt" 2>&1
  loaded=$(metric "$host" process_resident_memory_bytes)
  spent=$(metric "$host" process_cpu_seconds_total)
  after=$(metric "$host" guavaspring_requests_total)
  awk -v s="$shards" -v r="$count" -v before="$before" -v after="$after" -v idle="$idle" -v loaded="$loaded" -v cpu="$cpu" -v spent="$spent" \
    'BEGIN { q = after - before; ms = (spent - cpu) * 1000 / q; printf "%d,%d,%d,%.1f,%.1f,%.2f,%.0f\n", s, r, q, idle / 1048576, loaded / 1048576, ms, ms * 1000 / s }' | tee -a "$CSV"
  stop_all
done
