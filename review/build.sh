#!/usr/bin/env bash
# Builds the stand-ins and the players of the scripts into target/. It needs no network: the module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/harness"
mkdir -p ../../target
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/review-harness .
