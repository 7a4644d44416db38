#!/usr/bin/env bash
# Runs the soak for the seeds that once found something and for a range of seeds, six at a time, and lists those that found something; logs go to .out/soak.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p .out/soak
{ sed -n "s/^\([0-9][0-9]*\) .*/\1/p" soak/testdata/seeds.txt; seq "$1" "$2"; } | xargs -P 6 -I{} sh -c \
  '.bin/soak --entry .bin/entry --seed {} --for 25s > .out/soak/{}.txt 2>&1 || echo "seed {} found something: .out/soak/{}.txt"' | tee .out/soak/failed.txt
test ! -s .out/soak/failed.txt
