# Starts the fake services, two entries and an agent for each upstream on loopback.
# Sourced by run.sh and smoke.sh. Sets: dir, entries, admins, kv, plain.
# shellcheck shell=bash

bin=$(cd "$(dirname "${BASH_SOURCE[0]}")/../bin" && pwd)
examples=$(cd "$(dirname "${BASH_SOURCE[0]}")/../examples" && pwd)
dir=$(mktemp -d)
pids=()

stop_all() {
  trap - EXIT INT TERM
  # Entries finish open streams before they exit; a second signal would abort them.
  kill "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  rm -rf "$dir"
}

start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}

wait_for() {
  local what=$1 url=$2
  for _ in $(seq 100); do
    curl -fs -o /dev/null "$url" && return 0
    sleep 0.05
  done
  echo "no response from $what at $url" >&2
  cat "$dir"/*.log >&2
  return 1
}

common() {
  cat <<Y
platform: 127.0.0.1:$kv
token: demo-token
operator: demo-operator
limits:
  stop: 5s
Y
}

# start_agent NAME KIND MODEL SERVICE UPSTREAM_PORT LISTEN_PORT PEER_PORT ADMIN_PORT
start_agent() {
  local name=$1 kind=$2 model=$3 service=$4 port=$5 listen=$6 peer=$7 admin=$8
  {
    common
    cat <<Y
name: $name
centre: ibk-1
listen: 127.0.0.1:$listen
peer: 127.0.0.1:$peer
admin: 127.0.0.1:$admin
upstream:
  kind: $kind
  address: 127.0.0.1:$port
  model: "$model"
  service: "$service"
  slots: 8
Y
  } >"$dir/$name.yaml"
  start "$name" "$bin/cactustide" agent --settings "$dir/$name.yaml"
  curl -fs "http://127.0.0.1:$kv/fake/host" -d \
    "{\"Name\":\"$name\",\"Address\":\"127.0.0.1\",\"Port\":$listen,\"Peer\":\"127.0.0.1:$peer\",\"Group\":\"$model$service\"}"
}

# start_all takes 21 ports.
start_all() {
  local p=("$@") i
  kv=${p[0]}
  plain=${p[1]}
  start kv "$bin/lab" kv --listen "127.0.0.1:$kv"
  start plain "$bin/lab" plain --listen "127.0.0.1:$plain"
  for i in 0 1 2; do
    start "engine-$i" "$bin/lab" engine --listen "127.0.0.1:${p[$((2 + i))]}"
  done
  wait_for "the key-value service" "http://127.0.0.1:$kv/health"
  {
    common
    printf 'admins: ["127.0.0.1:%s", "127.0.0.1:%s"]\n' "${p[6]}" "${p[8]}"
  } >"$dir/ctl.yaml"
  ctl apply "$examples/document.yaml"
  for i in 0 1 2; do
    start_agent "birch-$i" engine birch "" "${p[$((2 + i))]}" "${p[$((9 + 3 * i))]}" "${p[$((10 + 3 * i))]}" "${p[$((11 + 3 * i))]}"
  done
  start_agent records-0 plain "" records "$plain" "${p[18]}" "${p[19]}" "${p[20]}"
  entries=("${p[5]}" "${p[7]}")
  admins=("${p[6]}" "${p[8]}")
  for i in 0 1; do
    {
      common
      cat <<Y
name: entry-$i
centre: ibk-1
listen: 127.0.0.1:${entries[$i]}
admin: 127.0.0.1:${admins[$i]}
Y
    } >"$dir/entry-$i.yaml"
    start "entry-$i" "$bin/cactustide" entry --settings "$dir/entry-$i.yaml"
  done
  for i in 0 1; do
    wait_for "entry-$i" "http://127.0.0.1:${admins[$i]}/ready"
  done
  # An agent is ready once an entry has sent it the configuration.
  for i in 11 14 17 20; do
    wait_for "an agent" "http://127.0.0.1:${p[$i]}/ready"
  done
}

ctl() { "$bin/cactustide" ctl --settings "$dir/ctl.yaml" --author demo "$@"; }
