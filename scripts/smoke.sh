#!/usr/bin/env bash
# Starts everything on free ports, sends one request of each kind, and checks
# the responses.
set -euo pipefail
source "$(dirname "$0")/start.sh"
trap stop_all EXIT
trap 'exit 1' INT TERM

mapfile -t ports < <("$bin/lab" ports --count 21)
start_all "${ports[@]}"
base="http://127.0.0.1:${entries[0]}"
other="http://127.0.0.1:${entries[1]}"
failed=0

check() {
  local what=$1 want=$2 got=$3
  if [[ $got == *"$want"* ]]; then
    printf 'ok      %s\n' "$what"
    return
  fi
  printf 'FAILED  %s: want %q, got %q\n' "$what" "$want" "$got"
  failed=1
}

chat='{"model":"birch","stream":true,"messages":[{"role":"user","content":"wings tokens=12 "}]}'
got=$(curl -sN "$base/v1/chat/completions" -H 'Authorization: Bearer eisklang-demo-key' -d "$chat")
check "streamed chat completion ends with [DONE]" "data: [DONE]" "$got"
check "streamed chat completion has 12 tokens and a final chunk" 13 "$(grep -c '"chat.completion.chunk"' <<<"$got")"

got=$(curl -s "$base/s/records/hydrants/7" -H 'Authorization: Bearer gyeongnam-demo-key')
check "plain call" '"path":"/hydrants/7"' "$got"

for url in "$base" "$other"; do
  got=$(curl -s "$url/s/records/permits" -H 'Authorization: Bearer gyeongnam-demo-key' -H 'Idempotency-Key: permit-1' -H 'X-Class: action' -d 'hall 4')
  check "action at $url" '"run":1' "$got"
done
check "the service ran the action once" '{"permit-1":1}' "$(curl -s "http://127.0.0.1:$plain/fake/runs")"

check "unknown API key" 401 "$(curl -s -o /dev/null -w '%{http_code}' "$base/v1/models" -H 'Authorization: Bearer nobody')"
check "models" '"id":"birch"' "$(curl -s "$base/v1/models" -H 'Authorization: Bearer eisklang-demo-key')"

check "preset switch" "generation 2 accepted, preset peak" "$(ctl preset peak)"
for _ in $(seq 30); do
  status=$(ctl --json status)
  [[ $(grep -c '"Preset": "peak"' <<<"$status") == 10 ]] && break
  sleep 0.1
done
check "both entries and all agents have the preset" 10 "$(grep -c '"Preset": "peak"' <<<"$status")"

trap - EXIT
stop_all
running=0
for pid in "${pids[@]}"; do
  kill -0 "$pid" 2>/dev/null && running=$((running + 1))
done
check "processes still running" 0 "$running"
exit "$failed"
