#!/bin/bash
# An order that takes an evacuation back reaches a control process that stands still, and is carried out after the zone was emptied again.
# Exit 1: EVAC is broken; 0: it held; 2: it couldn't run. TROUBLE=0: the same orders, and no process stands still.
cd "$(dirname "$0")/../.." || exit 2
for program in target/wallflow-control target/wallflow-proxy review/bin/standin; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: run the build line of deploy/system.toml and review/build.sh"
		exit 2
	fi
done
timeout -k 3 116 review/bin/standin evac . review/2/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
