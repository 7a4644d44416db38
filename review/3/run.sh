#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
review/build.sh || exit 2
TROUBLE_FLAG=true
if [ "${TROUBLE:-1}" = 0 ]; then TROUBLE_FLAG=false; fi
exec review/.bin/standin -case garbage -root . -record review/3/record.txt -trouble=$TROUBLE_FLAG
