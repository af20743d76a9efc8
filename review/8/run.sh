#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/sim ] && [ -x target/release/tanagergw ] || exit 2
exec target/review-2/sim alone target/release/tanagergw review/8/record.txt
