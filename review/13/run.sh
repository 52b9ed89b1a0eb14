#!/bin/sh
# Plays the case; claim.txt tells what it shows. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/rig ] && [ -x target/snipehubd ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-3/rig -case pause -record review/13/record.txt -trouble="$trouble"
