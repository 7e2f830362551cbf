#!/usr/bin/env bash
# Measures the control overhead for growing numbers of agents: one entry and N agents with a worker
# each, first idle, then with 100 jobs one after the other. Prints processor time, memory, bytes on
# loopback and calls to the store.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --quiet --release --package sapphired
cargo build --quiet --release --package sapphire-standins --examples
bin=${CARGO_TARGET_DIR:-target}/release
seconds=${IDLE_SECONDS:-20}
hz=$(getconf CLK_TCK)

ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
percent() { awk -v t="$1" -v s="$seconds" -v hz="$hz" 'BEGIN {printf "%.2f", 100 * t / hz / s}'; }
loopback_bytes() { awk '/lo:/ {print $2}' /proc/net/dev; }

run() { # AGENTS
    local count=$1 folder processes=() agents=()
    folder=$(mktemp -d)
    trap 'for process in "${processes[@]}"; do kill -9 "$process" 2>/dev/null || true; done' RETURN
    local ports=()
    for index in $(seq 1 "$count"); do ports+=(--worker $((20000 + index))); done
    "$bin/examples/platform" --store 19000 "${ports[@]}" 2>/dev/null &
    processes+=($!)
    cat >"$folder/e1.yaml" <<SETTINGS
name: e1
region: norte
zone: norte-a
address: 127.0.0.1:19001
http: 127.0.0.1:19002
store: 127.0.0.1:19000
SETTINGS
    "$bin/sapphired" entry --settings "$folder/e1.yaml" 2>/dev/null &
    local entry=$!
    processes+=("$entry")
    for index in $(seq 1 "$count"); do
        cat >"$folder/a$index.yaml" <<SETTINGS
name: a$index
region: norte
zone: norte-a
address: 127.0.0.1:$((22000 + index))
entries: [127.0.0.1:19001]
worker:
  name: w$index
  rack: r$(((index - 1) / 3))
  address: 127.0.0.1:$((20000 + index))
  accelerators: 8
  processors: 64
  memory: 256GiB
SETTINGS
        "$bin/sapphired" agent --settings "$folder/a$index.yaml" 2>/dev/null &
        agents+=($!)
        processes+=($!)
    done
    "$bin/examples/ask" --within 60 --holds "\"w$count\"" http://127.0.0.1:19002/v1/workers >/dev/null
    "$bin/examples/ask" --within 60 --holds '"planner":"e1"' http://127.0.0.1:19002/v1/rules/status >/dev/null
    "$bin/examples/ask" --method PUT --header If-Match=0 --body 'organisation o # bench' \
        http://127.0.0.1:19002/v1/rules >/dev/null
    sleep 3
    local entry_before agent_before bytes_before
    entry_before=$(ticks "$entry")
    agent_before=$(ticks "${agents[0]}")
    bytes_before=$(loopback_bytes)
    sleep "$seconds"
    echo "agents=$count idle: entry $(percent $(($(ticks "$entry") - entry_before)))% of a core $(resident "$entry") kB;" \
        "agent $(percent $(($(ticks "${agents[0]}") - agent_before)))% $(resident "${agents[0]}") kB;" \
        "loopback $((($(loopback_bytes) - bytes_before) / seconds)) bytes/s"
    local calls_before
    calls_before=$(curl_counts)
    entry_before=$(ticks "$entry")
    "$bin/examples/jobs" --entry 127.0.0.1:19002 --jobs 100
    echo "agents=$count jobs: entry $((($(ticks "$entry") - entry_before) * 1000 / hz / 100)) ms a job, $(resident "$entry") kB"
    echo "  store calls before $calls_before"
    echo "  store calls after  $(curl_counts)"
}
curl_counts() { "$bin/examples/ask" http://127.0.0.1:19000/counts | sed 's/.*calls/calls/; s/\\//g'; }

for agents in ${AGENTS:-10 50 100 200}; do run "$agents"; done
