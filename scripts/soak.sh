#!/usr/bin/env bash
# Runs the soak test's regression seeds from soak/seeds.txt, one on each line with
# the cause of its failure after it.
set -euo pipefail
cd "$(dirname "$0")/.."
while read -r seed _; do
  [[ $seed =~ ^[0-9]+$ ]] || continue
  bin/lab soak --seed "$seed"
done <soak/seeds.txt
