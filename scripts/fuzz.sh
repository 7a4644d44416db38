#!/usr/bin/env bash
# Runs each fuzz test of the project for the given time, one after the other.
set -euo pipefail
cd "$(dirname "$0")/.."
grep -rl --include='*_test.go' '^func Fuzz' core platform entry gsctl | while read -r file; do
  sed -n 's/^func \(Fuzz[A-Za-z]*\)(.*/\1/p' "$file" | while read -r name; do
    echo "$(dirname "$file") $name"
    (cd "$(dirname "$file")" && go test -run '^$' -fuzz "^$name\$" -fuzztime "$1" -parallel 4 .)
  done
done
