#!/usr/bin/env bash
# Runs the soak for the seeds that once found something, as they were, and for a range of seeds with replicas that restart, reply twice and garble replies, and unfinished requests, and again with planned stops of 6, 12 or 24 hosts, six at a time, and lists those that found something; logs go to .out/soak.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p .out/soak
{ sed -n "s/^\([0-9][0-9]*\( --[a-z-]*\)*\) .*/\1/p" soak/testdata/seeds.txt; seq "$1" "$2" | sed "s/$/ --restarts --late-replies --garbled-replies --unfinished-requests/"; seq "$1" "$2" | awk '{ split("6 12 24", n); h = n[$1 % 7 == 0 ? 3 : $1 % 3 == 0 ? 2 : 1]; print $1, "--stops --hosts", h, "--clients", 10 * h }'; } | xargs -P 6 -I{} sh -c \
  '.bin/soak --entry .bin/entry --for 25s --seed {} > ".out/soak/{}.txt" 2>&1 || echo "seed {} found something: .out/soak/{}.txt"' | tee .out/soak/failed.txt
test ! -s .out/soak/failed.txt
