#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 there is no disruption.
# Before: the build of deploy/balancer.toml, and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in bin/cindersaddle bin/review-standins-2; do
	[ -x "$program" ] || { echo "could not run: $program is missing"; exit 2; }
done
exec bin/review-standins-2 pause-in-answer review/9/record.txt
