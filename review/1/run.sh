#!/bin/bash
# An extra answer that comes late is taken for the answer to a later send of the same request, and the request is sent once more.
# Exit 1: TWICE or REFUSED is broken; 0: they held; 2: it couldn't run. TROUBLE=0: the same requests, and no extra answers.
cd "$(dirname "$0")/../.." || exit 2
for program in target/wallflow-control target/wallflow-proxy review/bin/standin; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: run the build line of deploy/system.toml and review/build.sh"
		exit 2
	fi
done
timeout -k 3 116 review/bin/standin twice . review/1/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
