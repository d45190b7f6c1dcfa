#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/. The build of the deploy
# file comes first: it makes target/cactustide.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -trimpath -o target/probe ./review/probe
