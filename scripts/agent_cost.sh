#!/usr/bin/env bash
# Measures what one agent process costs: processor time, memory and control
# traffic, idle and under load, linked to a number of entry processes.
# Usage: scripts/agent_cost.sh [ENTRIES] [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
entries=${1:-16}
seconds=${2:-20}
work=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop EXIT

go build -o "$work/" ./cmd/...
names=()
for i in $(seq "$entries"); do names+=(--entry "entry-$i"); done
"$work/burdockrudder" certificates --dir "$work/certificates" "${names[@]}" --agent agent-01
root=$(printf example-root | sha256sum | cut -d' ' -f1)
tls() { echo "{\"ca\": \"$work/certificates/ca.crt\", \"certificate\": \"$work/certificates/$1.crt\", \"key\": \"$work/certificates/$1.key\"}"; }
start() { "$@" >"$work/$(basename "$1")-${#pids[@]}.log" 2>&1 & pids+=($!); }

start "$work/standin" platform --listen 127.0.0.1:19100
targets=()
for i in $(seq "$entries"); do
  echo "{\"name\": \"entry-$i\", \"listen\": \"127.0.0.1:$((17100 + i))\", \"http_listen\": \"127.0.0.1:$((18100 + i))\",
    \"platform_url\": \"http://127.0.0.1:19100\", \"root_key_sha256\": \"$root\", \"tls\": $(tls "entry-$i")}" >"$work/entry-$i.jsonc"
  targets+=("\"127.0.0.1:$((17100 + i))\"")
  start "$work/burdockrudder" entry --config "$work/entry-$i.jsonc"
done
echo "{\"name\": \"agent-01\", \"firm\": \"lamis\", \"place\": \"sahel\", \"failure_domain\": \"sousse\",
  \"entries\": [$(IFS=,; echo "${targets[*]}")], \"endpoint_url\": \"http://127.0.0.1:19301\",
  \"announce_listen\": \"127.0.0.1:19201\", \"metrics_listen\": \"127.0.0.1:19401\", \"tls\": $(tls agent-01)}" >"$work/agent.jsonc"
start "$work/burdockrudder" agent --config "$work/agent.jsonc"
agent=${pids[-1]}
start "$work/standin" endpoint --listen 127.0.0.1:19301 --agent http://127.0.0.1:19201
sleep 2
BURDOCKRUDDER_KEY=example-root "$work/burdockrudder" settings set examples/lamis.jsonc --version 0 --reason measure --server http://127.0.0.1:18101 >/dev/null
sleep 3

ticks() { awk '{print $14 + $15}' "/proc/$agent/stat"; }
control='kind="(Report|Status|PeerStatus|Ping|Hello|Welcome)"'
bytes() { curl -s http://127.0.0.1:19401/metrics | grep -E '^burdockrudder_bytes' | grep -E "$control" | awk '{s += $2} END {printf "%d", s}'; }
measure() {
  local cpu0 bytes0 cpu1 bytes1
  cpu0=$(ticks); bytes0=$(bytes)
  sleep "$seconds"
  cpu1=$(ticks); bytes1=$(bytes)
  awk -v name="$1" -v ticks=$((cpu1 - cpu0)) -v hz="$(getconf CLK_TCK)" -v s="$seconds" -v b=$((bytes1 - bytes0)) \
    -v rss="$(awk '/VmRSS/ {print $2}' "/proc/$agent/status")" -v entries="$entries" \
    'BEGIN {printf "%s: %d entries, %.2f%% of a core, %.1f MB, %.2f KB/s of control messages\n", name, entries, 100 * ticks / hz / s, rss / 1024, b / s / 1000}'
}
measure idle

job='{"deadline": "60s", "tasks": ['
for i in $(seq 210); do job+="{\"payload\": {\"run_time_ms\": 50, \"echo\": $i}},"; done
echo "${job%,}]}" >"$work/job.json"
load() {
  for i in $(seq "$1"); do
    BURDOCKRUDDER_KEY=example-lamis-caller "$work/burdockrudder" submit "$work/job.json" --firm lamis --service dispatch \
      --timeout 60s --server "http://127.0.0.1:$((18101 + i % entries))" >/dev/null || true
  done
}
load $((seconds * 2)) &
pids+=($!)
sleep 1
before=$(curl -s http://127.0.0.1:19301/v1/counters | grep -o '"starts":[0-9]*' | cut -d: -f2)
measure busy
after=$(curl -s http://127.0.0.1:19301/v1/counters | grep -o '"starts":[0-9]*' | cut -d: -f2)
awk -v n=$((after - before)) -v s="$seconds" 'BEGIN {printf "busy: %.0f task starts/s at this agent\n", n / s}'
