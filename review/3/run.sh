#!/usr/bin/env bash
# Case 3. Exit code 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0: without the disruption.
set -uo pipefail
cd "$(dirname "$0")" || exit 2
exec java -Xmx128m -cp ../classes Case3
