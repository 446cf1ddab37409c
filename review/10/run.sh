#!/bin/bash
# A job that was cancelled, with the answer 410, runs seconds later.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Build before: the deploy file's build, review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/mangohill-platform ] || [ ! -x target/review-2/standin ]; then
	echo "build target/mangohill-platform and target/review-2/standin first" >&2
	exit 2
fi
exec target/review-2/standin drive cancelled review/10/record.txt
