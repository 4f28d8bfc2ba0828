#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, which use the standard library alone, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOFLAGS=-buildvcs=false GOWORK=off GOTOOLCHAIN=local go build -C review/harness-3 -o ../../target/review-3 .
