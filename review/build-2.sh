#!/usr/bin/env bash
# Builds the stand-in of the second review's scripts, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/world"
mkdir -p ../../target
GOWORK=off go build -o ../../target/world .
