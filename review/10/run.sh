#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/release/case10 ] || exit 2
TROUBLE="${TROUBLE:-1}" exec target/review-2/release/case10
