#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, from the root of the repository and without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
GOFLAGS=-buildvcs=false GOWORK=off GOTOOLCHAIN=local go build -C review/harness-2 -o ../../target/review-2/harness2 .
