#!/usr/bin/env bash
# Runs the soak's regression cases: the seeds in soak/seeds.txt, one a line, with
# the cause behind it.
set -euo pipefail
cd "$(dirname "$0")/.."
while read -r seed _; do
  [[ $seed =~ ^[0-9]+$ ]] || continue
  bin/lab soak --seed "$seed"
done <soak/seeds.txt
