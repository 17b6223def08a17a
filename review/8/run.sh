#!/bin/sh
# Plays this case; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run.
# TROUBLE=0: the same without the disruption (no program runs away).
cd "$(dirname "$0")/../.." || exit 2
[ -x target/saffronfall ] && [ -x target/review-standin-2 ] || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
	disruption=calm
else
	disruption=trouble
fi
exec target/review-standin-2 runaway "$(pwd)/review/8" "$disruption"
