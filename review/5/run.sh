#!/usr/bin/env bash
# Runs this case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it leaves
# the disruption out. The build of the deploy file and review/build.sh come first.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/hyssophoistd target/review/standin; do
    [ -x "$program" ] || { echo "$program is missing: build first"; exit 2; }
done
TROUBLE=${TROUBLE:-1} exec target/review/standin removed review/5
