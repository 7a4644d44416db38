#!/usr/bin/env bash
# capacity measures what control costs one entry host, with real processes on loopback and no callers:
# bytes a second between hosts, processor time and resident memory against hosts, services and replicas, the time for
# a new generation to be in force on every host, and the time until a killed host is known everywhere.
# It writes .out/capacity.csv (one row a run) and .out/capacity-config.csv (one row an edit), and prints both.
# RUNS="hosts:services:replicas[:seconds] ..." and WINDOW=seconds choose other runs. With the fourth number one host of
# the second half is stopped and replaced each so many seconds, and only the first half is measured.
set -euo pipefail
cd "$(dirname "$0")/.."
export LOGS="$PWD/.out/capacity-logs"
mkdir -p "$LOGS"
. scripts/lib.sh
trap stop_all EXIT

RUNS="${RUNS:-8:1:0 32:1:0 128:1:0 8:64:0 8:1:600 32:1:0:3}"
WINDOW="${WINDOW:-30}"
EDITS="${EDITS:-5}"
# Below the ports that the sessions search, so that both can run at once.
PLATFORM=127.0.0.1:8100
LISTEN_BASE=8200
PEER_BASE=8500
CSV=.out/capacity.csv
CONFIG=.out/capacity-config.csv
# A segment carries 52 bytes of TCP and IP header, and about every second one is acknowledged by an empty one.
HEADER=52

put() { # KIND NAME VERSION BODY
  curl -sf -o /dev/null -X PUT -H "If-Match: $3" -d "$4" "http://$PLATFORM/v1/objects/$1/$2"
}

document() { # NAME NUMBER: a document that differs with the number
  echo "{\"service\":\"$1\",\"hedge\":{\"budget_percent\":$(($2 % 50))}}"
}

known() { # PORT HOSTS SERVICES: succeeds once a host knows all hosts and services
  curl -sf "http://127.0.0.1:$1/metrics" | awk -v hosts="$2" -v services="$3" '
    /^guavaspring_hosts\{state="alive"\}/ { a = $2 } /^guavaspring_generations / { g = $2 } END { exit !(a == hosts && g >= services) }'
}

# sample writes, for each host: bytes received and sent, reads, writes, processor seconds, resident bytes.
sample() { # HOSTS FILE
  local i
  for i in $(seq "$1"); do
    curl -sf "http://127.0.0.1:$((LISTEN_BASE + i))/metrics" | awk '
      /^guavaspring_peer_received_bytes_total/ { in_ = $2 } /^guavaspring_peer_sent_bytes_total/ { out = $2 }
      /^guavaspring_peer_reads_total/ { r = $2 } /^guavaspring_peer_writes_total/ { w = $2 } /^guavaspring_peer_dials_total/ { d = $2 }
      /^process_cpu_seconds_total/ { cpu = $2 } /^process_resident_memory_bytes/ { rss = $2 }
      END { printf "%.0f %.0f %.0f %.0f %.2f %.0f %.0f\n", in_, out, r, w, cpu, rss, d }'
  done >"$2"
}

# in_force prints, for one edit, the milliseconds from the edit until each host had it: median, 95th in 100, most, hosts.
in_force() { # NUMBER EDITED_NS HOSTS
  local i
  for i in $(seq "$3"); do
    grep '"event":1100' "$LOGS/entry-$i.log" | grep '"service":"service-1"' | grep "\"number\":$1}" | head -1 | sed 's/.*"ts":"\([^"]*\)".*/\1/'
  done | date -f - +%s%N | awk -v t="$2" '{ print ($1 - t) / 1e6 }' | sort -n |
    awk '{ v[NR] = $1 } END { if (NR) printf "%.0f,%.0f,%.0f,%d", v[int((NR + 1) / 2)], v[int((NR * 95 + 99) / 100)], v[NR], NR; else printf ",,,0" }'
}

# host I starts entry host I of the run.
host() {
  start "entry-$1" "$BIN/entry" --listen="127.0.0.1:$((LISTEN_BASE + $1))" --peer="127.0.0.1:$((PEER_BASE + $1))" \
    --seeds="127.0.0.1:$((PEER_BASE + 1)),127.0.0.1:$((PEER_BASE + 2))" --platform="$PLATFORM" --zone="zone-$(($1 % zones))"
  HOST_PIDS[$1]="$PID"
}

# replace_hosts stops and starts one host of the second half each SECONDS, for the whole window.
replace_hosts() { # HOSTS SECONDS
  local end=$((SECONDS + WINDOW)) i="$1"
  REPLACED=0
  while [ "$SECONDS" -lt "$end" ]; do
    kill -TERM "${HOST_PIDS[$i]}"
    sleep "$2"
    # A host that stops goes on serving for a while, and its ports are taken until it ends.
    wait "${HOST_PIDS[$i]}" || true
    host "$i"
    REPLACED=$((REPLACED + 1))
    i=$((i > $1 / 2 + 1 ? i - 1 : $1))
  done
}

run() { # HOSTS SERVICES REPLICAS REPLACE
  local hosts="$1" services="$2" replicas="$3" replace="$4" i started measured
  HOST_PIDS=()
  zones=$((hosts < 24 ? 3 : 24))
  rm -f "$LOGS"/*.log
  start platform "$BIN/standin" platform --listen="$PLATFORM"
  until_ok "the platform answers" curl -sf "http://$PLATFORM/v1/hosts"
  for i in $(seq "$services"); do put document "service-$i" 0 "$(document "service-$i" 0)"; done
  for i in $(seq "$replicas"); do
    curl -sf -o /dev/null -X PUT -d "{\"service\":\"elsewhere\",\"addr\":\"127.0.0.1:$((30000 + i))\",\"zone\":\"z\",\"state\":\"live\"}" \
      "http://$PLATFORM/control/hosts/elsewhere-$i"
  done
  started=$(date +%s%N)
  for i in $(seq "$hosts"); do
    host "$i"
  done
  for i in $(seq "$hosts"); do until_ok "host $i knows all" known $((LISTEN_BASE + i)) "$hosts" "$services"; done
  local joined=$((($(date +%s%N) - started) / 1000000))
  # News of the start is passed on for a while.
  sleep 20
  measured="$hosts"
  [ "$replace" = 0 ] || measured=$((hosts / 2))
  sample "$measured" "$LOGS/before"
  local from elapsed
  from=$(date +%s%N)
  REPLACED=0
  if [ "$replace" = 0 ]; then sleep "$WINDOW"; else replace_hosts "$hosts" "$replace"; fi
  elapsed=$((($(date +%s%N) - from) / 1000000))
  sample "$measured" "$LOGS/after"
  local figures
  figures=$(paste -d' ' "$LOGS/before" "$LOGS/after" | awk -v ms="$elapsed" -v header="$HEADER" '
    BEGIN { s = ms / 1000 }
    { n++; i = ($8 - $1) / s; o = ($9 - $2) / s; seg = ($10 - $3 + $11 - $4) / s; cpu = ($12 - $5) / s * 100
      wire = i + o + seg * 1.5 * header
      in_ += i; out += o; segs += seg; c += cpu; w += wire; rss += $13; dials += ($14 - $7) / s
      if (wire > wmax) wmax = wire; if (cpu > cmax) cmax = cpu; if ($13 > rmax) rmax = $13 }
    END { printf "%.0f,%.0f,%.1f,%.0f,%.0f,%.2f,%.2f,%.1f,%.1f,%.3f", in_/n, out/n, segs/n, w/n, wmax, c/n, cmax, rss/n/1048576, rmax/1048576, dials/n }')
  local calls
  calls=$(curl -sf "http://$PLATFORM/control/calls" | tr -d '\n' | sed 's/.*"watching_max":\([0-9]*\).*/\1/')
  echo "$hosts,$services,$replicas,$REPLACED/$((elapsed / 1000))s,$joined,$figures,$calls" >>"$CSV"
  if [ "$replace" != 0 ]; then
    stop_all
    return
  fi
  edits "$hosts" "$services" "$replicas"
  killed "$hosts"
  stop_all
}

edits() { # HOSTS SERVICES REPLICAS: five edits one after another
  local edit at
  for edit in $(seq "$EDITS"); do
    at=$(date +%s%N)
    put document service-1 "$edit" "$(document service-1 "$edit")"
    sleep 5
    echo "$1,$2,$3,$edit,$(in_force $((edit + 1)) "$at" "$1")" >>"$CONFIG"
  done
}

killed() { # HOSTS: kills the third host and waits until the others have it for dead
  local pid="${PIDS[3]}" at i
  at=$(date +%s%N)
  kill -KILL "$pid"
  sleep 25
  for i in $(seq "$1"); do
    [ "$i" = 3 ] || grep '"event":1503' "$LOGS/entry-$i.log" | grep ":$((PEER_BASE + 3))\"" | head -1 | sed 's/.*"ts":"\([^"]*\)".*/\1/'
  done | date -f - +%s%N | awk -v t="$at" '{ print ($1 - t) / 1e6 }' | sort -n |
    awk -v hosts="$1" '{ v[NR] = $1 } END { printf "%d,,,dead,%.0f,%.0f,%.0f,%d\n", hosts, v[int((NR + 1) / 2)], v[int((NR * 95 + 99) / 100)], v[NR], NR }' >>"$CONFIG"
}

echo "hosts,services,replicas,replaced,joined_ms,in_bytes_s,out_bytes_s,segments_s,wire_bytes_s,wire_bytes_s_most,cpu_percent,cpu_percent_most,rss_mb,rss_mb_most,dials_s,watches_most" >"$CSV"
echo "hosts,services,replicas,edit,median_ms,p95_ms,most_ms,hosts_reached" >"$CONFIG"
for r in $RUNS; do
  IFS=: read -r hosts services replicas replace <<<"$r"
  run "$hosts" "$services" "$replicas" "${replace:-0}"
done
column -s, -t "$CSV"
echo
column -s, -t "$CONFIG"
