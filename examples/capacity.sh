#!/bin/bash
# Starts 3 control and 8 entry processes with 560 stand-in workers on loopback,
# brings them to the size of docs/CAPACITY.md and prints what each process uses:
# idle, with 11,300 tasks running, while 2,000 jobs are declared one by one, and
# after the loss of 140 workers at once, a little more than a failure domain.
# Usage: GOMEMLIMIT=48MiB examples/capacity.sh [SECONDS]
set -euo pipefail
seconds=${1:-60}
folder=$(mktemp -d)
bin=$folder/bin
net=127.77.0
go build -o "$bin/" ./cmd/...
cd "$folder"

started=()
watched=()
declare -A pids
cleanup() {
  for pid in "${started[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait
  rm -rf "$folder"
}
trap cleanup EXIT

start() { # NAME PROGRAM ARGUMENTS...
  local name=$1
  shift
  "$@" >"$name.log" 2>&1 &
  started+=($!)
  pids[$name]=$!
  case $name in control-* | entry-*) watched+=(--process "$name=$!") ;; esac
}

addresses() { # FIRST COUNT
  local list=()
  for ((i = 1; i <= $2; i++)); do list+=("$net.$(($1 + i)):7400"); done
  (IFS=,; echo "[${list[*]}]")
}

settings() { # NAME HOST EXTRA
  cat >"$1.yaml" <<YAML
cluster: capacity
name: $1
failure_domain: d1
listen: {operators: '$2:8082', peers: '$2:7400'$3}
entries: $(addresses 10 8)
control: $(addresses 20 3)
data: $folder/data-$1
YAML
}

for i in 1 2 3; do
  settings "control-$i" "$net.$((20 + i))" ""
  start "control-$i" "$bin/mangohill-control" --settings "control-$i.yaml" $([ "$i" = 1 ] && echo --bootstrap)
  sleep 0.5
done
for i in 1 2 3 4 5 6 7 8; do
  host=$net.$((10 + i))
  settings "entry-$i" "$host" ", callers: '$host:8080', platform: '$host:8081'"
  start "entry-$i" "$bin/mangohill-entry" --settings "entry-$i.yaml"
done
operate() { "$bin/mangohill" --entry "$net.11:8082" --timeout 60s "$@"; }
echo 'leases: {duration: 20s, hold: 8s, usage: 1m}' >cluster.yaml
operate set config from cluster.yaml if version 1
for i in 1 2 3 4 5 6 7 8; do
  start "workers-$i" "$bin/mangohill-standin" workers --platform "$net.$((10 + i)):8081" --count 70 --prefix "w$i-" \
    --domain d1 --domain d2 --domain d3 --domain d4 --domain d5
done
sleep 10

echo "== idle, 560 workers"
"$bin/mangohill-bench" watch "${watched[@]}" --for "${seconds}s"
cat >jobs.mh <<'JOBS'
declare service critical { replicas 1300 processors 1 memory 1GiB }
declare service bulk-1 { replicas 3334 processors 2 memory 4GiB class bulk }
declare service bulk-2 { replicas 3333 processors 2 memory 4GiB class bulk }
declare service bulk-3 { replicas 3333 processors 2 memory 4GiB class bulk }
JOBS
operate run jobs.mh
running() { operate --json show tasks where state = running | grep -o '"task"' | wc -l; }
until [ "$(running)" = 11300 ]; do sleep 1; done

echo "== 11,300 tasks running"
"$bin/mangohill-bench" watch "${watched[@]}" --for "${seconds}s"
for script in a b; do
  for ((i = 1; i <= 1000; i++)); do
    echo "declare batch $script-$i { processors 1 memory 1GiB expected 40m class routing }"
  done >"$script.mh"
done

echo "== 2,000 jobs declared one by one, in two scripts"
"$bin/mangohill-bench" watch "${watched[@]}" --for 20s &
watch=$!
sleep 0.5
operate run a.mh >a.out &
first=$!
operate run b.mh >b.out
wait "$first" "$watch"

echo "== 140 workers lost at once"
"$bin/mangohill-bench" watch "${watched[@]}" --for 30s &
watch=$!
begin=$(date +%s.%N)
kill -KILL "${pids[workers-7]}" "${pids[workers-8]}"
count() { operate --json "$@" | grep -o '"reason":' | wc -l; }
elapsed() { echo "$(date +%s.%N) - $begin" | bc; }
until [ "$(count show workers where state = lost)" = 140 ]; do sleep 0.2; done
echo "all 140 known as lost after $(elapsed) s"
until [ "$(count show tasks where state = evicted)$(count show tasks where state = starting)" = 00 ]; do sleep 0.2; done
echo "every task running again after $(elapsed) s"
wait "$watch"
