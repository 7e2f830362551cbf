#!/usr/bin/env bash
# Compares service requests through one entry and one agent with requests that the same client sends
# directly to the stand-in minion. Prints the idle cost of agent and entry, then latency, throughput
# and their ratio, then memory and threads under load.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --quiet --release --package sapphired
cargo build --quiet --release --package sapphire-standins --examples
bin=${CARGO_TARGET_DIR:-target}/release
logs=$(mktemp -d)
processes=()
finish() {
    for process in "${processes[@]}"; do kill -9 "$process" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -r "$logs"
}
trap finish EXIT
start() {
    local name=$1
    shift
    "$@" >"$logs/$name.log" 2>&1 &
    processes+=($!)
    last=$!
}

start platform "$bin/examples/platform" --store 17000 --worker 17071 --minion 17091
start e1 "$bin/sapphired" entry --settings examples/atlantica/entry-e1.yaml
entry=$last
for other in 2 3 4; do
    start "e$other" "$bin/sapphired" entry --settings "examples/atlantica/entry-e$other.yaml"
done
start a1 "$bin/sapphired" agent --settings examples/atlantica/agent-a1.yaml
agent=$last
"$bin/examples/ask" --within 20 --holds '"m1"' http://127.0.0.1:17031/v1/minions >/dev/null
"$bin/examples/ask" --within 20 http://127.0.0.1:17031/readyz >/dev/null

ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident() { awk '/VmRSS/ {print $2 " kB"}' "/proc/$1/status"; }
threads() { awk '/Threads/ {print $2}' "/proc/$1/status"; }
before=$(ticks "$agent")
before_entry=$(ticks "$entry")
sleep "${IDLE_SECONDS:-10}"
hz=$(getconf CLK_TCK)
cost() { awk -v t="$1" -v s="${IDLE_SECONDS:-10}" -v hz="$hz" 'BEGIN {printf "%.2f%%", 100 * t / hz / s}'; }
echo "idle agent: $(cost $(($(ticks "$agent") - before))) of a core, $(resident "$agent"), $(threads "$agent") threads"
echo "idle entry: $(cost $(($(ticks "$entry") - before_entry))) of a core, $(resident "$entry"), $(threads "$entry") threads"

"$bin/examples/load" --straight "http://127.0.0.1:17091/echo?ms=${MS:-0}" \
    --through "http://127.0.0.1:17031/v1/services/review/echo?ms=${MS:-0}" \
    --connections 1 --connections 16 --connections 64 --rounds "${ROUNDS:-3}"
echo "loaded agent: $(resident "$agent"), $(threads "$agent") threads"
echo "loaded entry: $(resident "$entry"), $(threads "$entry") threads"
