#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/yokelift ] || [ ! -x target/review-2/case-10 ]; then
    echo "run the deploy file's build and review/build-2.sh first" >&2
    exit 2
fi
RECORD=review/10/record.txt exec target/review-2/case-10
