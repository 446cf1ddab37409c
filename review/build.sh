#!/usr/bin/env bash
# Builds the stand-ins of the scripts, beside the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/harness"
mkdir -p ../../target
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/review-harness .
