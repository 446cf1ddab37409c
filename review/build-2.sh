#!/bin/bash
# Builds the stand-ins that the scripts of review/6 to review/10 start.
set -e
cd "$(dirname "$0")/harness-2"
mkdir -p ../../target/review-2
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/review-2/standin .
