#!/usr/bin/env bash
# Runs the soak test's regression seeds from soak/seeds.txt, one on each line with
# the cause of its failure after it. A seed may have the numbers of entries, upstreams and
# callers after it: SEED:ENTRIES:UPSTREAMS:CALLERS.
set -euo pipefail
cd "$(dirname "$0")/.."
while read -r run _; do
  IFS=: read -r seed entries upstreams callers <<<"$run"
  [[ $seed =~ ^[0-9]+$ ]] || continue
  bin/lab soak --seed "$seed" --entries "${entries:-3}" --upstreams "${upstreams:-4}" --callers "${callers:-12}"
done <soak/seeds.txt
