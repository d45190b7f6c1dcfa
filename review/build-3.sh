#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/stand-3"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod go build -trimpath -o ../../target/stand3 .
