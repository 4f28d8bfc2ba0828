#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/harness-3"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-3 .
