#!/bin/sh
# Plays the case in claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 plays it
# without the disruption. Needs the build of deploy/balancer.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 2 116 bin/review-standins late-repeat review/2
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
