#!/usr/bin/env bash
# Fails if a file that git tracks is binary.
set -euo pipefail
cd "$(dirname "$0")/.."
binaries=$(comm -23 <(git ls-files | sort) <(git grep -Il '' | sort) | while read -r f; do
  if [[ -s $f ]]; then echo "$f"; fi
done)
if [[ -n $binaries ]]; then
  echo "binary files in the repository:" "$binaries"
  exit 1
fi
