#!/usr/bin/env bash
# Plays the case "wave" of review/harness: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-harness ] && [ -x target/mangohill-platform ] || exit 2
exec target/review-harness wave target/mangohill-platform review/4/record.txt
