# Functions that the demonstration and the bench share. It is sourced, not run.
# Every process that is started is noted by its pid, and only those are ever stopped.

BIN="${BIN:-$PWD/.bin}"
LOGS="${LOGS:-$PWD/.out/logs}"
PIDS=()

# start NAME COMMAND... runs a command in the background with its output in a log, and sets PID.
start() {
  local name="$1"
  shift
  "$@" >"$LOGS/$name.log" 2>&1 &
  PID=$!
  PIDS+=("$PID")
}

# stop_all ends everything that was started here: asked first, then by force.
stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for _ in $(seq 50); do
    local left=0
    for pid in "${PIDS[@]}"; do kill -0 "$pid" 2>/dev/null && left=1; done
    [ "$left" = 0 ] && break
    sleep 0.1
  done
  for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  PIDS=()
}

# until_ok WHAT COMMAND... repeats a command until it succeeds, for at most 15 seconds.
until_ok() {
  local what="$1"
  shift
  for _ in $(seq 150); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "$0: gave up waiting until $what" >&2
  "$@" >&2 || true
  return 1
}

# answers_whole ADDR SERVICE succeeds once a host answers a query of the service over all shards.
answers_whole() {
  "$BIN/load" query --host="$1" --service="$2" "is it up" | grep -q '^complete'
}

# upstream NAME BASE ARGS... starts the replicas of a service.
upstream() {
  local service="$1" base="$2"
  shift 2
  start "upstream-$service${SUFFIX:-}" "$BIN/standin" upstream --service="$service" --base="$base" --platform="$PLATFORM" "$@"
}

# entry N starts entry host N and sets PID; ENTRY_BASE is the port of the first, PEER_BASE that of its peer side.
entry() {
  local n="$1"
  start "entry-$n" "$BIN/entry" --listen="127.0.0.1:$((ENTRY_BASE + n))" --peer="127.0.0.1:$((PEER_BASE + n))" \
    --seeds="127.0.0.1:$PEER_BASE,127.0.0.1:$((PEER_BASE + 1)),127.0.0.1:$((PEER_BASE + 2))" \
    --platform="$PLATFORM" --zone="$(zone "$n")"
}

# zone N names the availability zone of the Nth host.
zone() {
  local zones=(osborne-hall picton-shed webberton-room)
  echo "${zones[$(($1 % 3))]}"
}

# kill_hard PID ends one process of ours as a crash of its machine would.
kill_hard() {
  kill -KILL "$1"
  wait "$1" 2>/dev/null || true
}

# apply FILE proposes a copy of a document, since gsctl notes in the file which version it was applied as.
apply() {
  cp "$1" "$LOGS/$(basename "$1")"
  "$BIN/gsctl" --platform="$PLATFORM" apply "$LOGS/$(basename "$1")"
}
