#!/bin/sh
# Plays this case; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/saffronfall ] && [ -x target/review-standin-2 ] || exit 2
exec target/review-standin-2 memory "$(pwd)/review/4"
