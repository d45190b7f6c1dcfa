#!/usr/bin/env bash
# Runs each fuzz target for a short time.
set -euo pipefail
cd "$(dirname "$0")/.."
time=${FUZZ_TIME:-5s}
go list ./... | while read -r package; do
  go test -list '^Fuzz' "$package" | { grep '^Fuzz' || true; } | while read -r target; do
    go test -run '^$' -fuzz "^$target\$" -fuzztime "$time" "$package"
  done
done
