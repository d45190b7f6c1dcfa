#!/usr/bin/env bash
# Runs the fake services, two entries and their agents until Ctrl-C.
set -euo pipefail
source "$(dirname "$0")/start.sh"
trap stop_all EXIT
trap 'exit 0' INT TERM

# shellcheck disable=SC2207
start_all 8500 9100 9000 9001 9002 7000 7001 7010 7011 \
  7100 7101 7102 7110 7111 7112 7120 7121 7122 7130 7131 7132

cat <<T

entries       http://127.0.0.1:${entries[0]}  http://127.0.0.1:${entries[1]}
admin         http://127.0.0.1:${admins[0]}  http://127.0.0.1:${admins[1]}
key-value     http://127.0.0.1:$kv
logs          $dir/*.log
operators     bin/cactustide ctl --settings $dir/ctl.yaml status

Try:

curl -N http://127.0.0.1:${entries[0]}/v1/chat/completions \\
  -H 'Authorization: Bearer eisklang-demo-key' \\
  -d '{"model":"birch","stream":true,"messages":[{"role":"user","content":"How deep can I carve a wing? tokens=12 "}]}'

Ctrl-C stops all processes.
T
wait "${pids[@]}"
