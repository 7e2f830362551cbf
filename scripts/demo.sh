#!/usr/bin/env bash
# End-to-end demonstration on loopback: a stand-in platform, two entries, and the agents of two racks
# in two zones. Applies Atlântica's rules, runs a gang job of 16 accelerators and service requests,
# kills one entry meanwhile, and exits. The exit code is not zero if an answer is not the expected
# one.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --quiet --release --package sapphired --package sapphirectl
cargo build --quiet --release --package sapphire-standins --examples
bin=${CARGO_TARGET_DIR:-target}/release
logs=$(mktemp -d)
processes=()

finish() {
    local code=$?
    for process in "${processes[@]}"; do kill -9 "$process" 2>/dev/null || true; done
    wait 2>/dev/null || true
    if [ $code -ne 0 ]; then
        echo "demo: failed; last lines of the logs:"
        tail -n 5 "$logs"/*.log
    else
        rm -r "$logs"
        echo "demo: every answer was the expected one"
    fi
    exit $code
}
trap finish EXIT

start() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$logs/$name.log" 2>&1 &
    processes+=($!)
    last=$!
}

say() { echo "== $*"; }
ctl() { "$bin/sapphirectl" --entry 127.0.0.1:17031 --entry 127.0.0.1:17032 "$@"; }
ask() { "$bin/examples/ask" "$@"; }

say "stand-in platform: key-value service, 6 workers, 6 minions"
start platform "$bin/examples/platform" --store 17000 \
    --worker 17071 --worker 17072 --worker 17073 --worker 17074 --worker 17075 --worker 17076 \
    --minion 17091 --minion 17092 --minion 17093 --minion 17094 --minion 17095 --minion 17096

say "two entries, six agents"
start e1 "$bin/sapphired" entry --settings examples/atlantica/entry-e1.yaml
e1=$last
start e2 "$bin/sapphired" entry --settings examples/atlantica/entry-e2.yaml
e2=$last
for agent in 1 2 3 4 5 6; do
    start "a$agent" "$bin/sapphired" agent --settings "examples/atlantica/agent-a$agent.yaml"
done
ask --within 20 http://127.0.0.1:17031/readyz
ask --within 20 http://127.0.0.1:17032/readyz
ask --within 20 --holds '"w6"' http://127.0.0.1:17031/v1/workers >/dev/null
ask --within 20 --holds '"planner":"e' http://127.0.0.1:17031/v1/rules/status

say "rules: check, apply, wait until they are in force on all processes"
ctl rules check examples/atlantica/rules.txt
ctl rules apply examples/atlantica/rules.txt --expect-revision 0 --author demo --wait
ctl rules status

say "a change by a second operator that is based on an outdated revision is rejected"
if ctl rules apply examples/pastizal/rules.txt --expect-revision 0 --author late --allow-short \
    >"$logs/late.out" 2>&1; then
    echo "demo: the change based on an outdated revision was accepted"
    exit 1
fi
grep -q 'revision 1 is in force' "$logs/late.out"

say "a gang job of 16 accelerators in one rack"
ctl job submit --organisation supervisors --accelerators 8 --tasks 2 --adjacency rack \
    --command 'sleep 500ms' --key dossier-1 --wait

say "service requests"
ask --holds /dossier http://127.0.0.1:17031/v1/services/review/dossier?ms=5
ask --method POST --body chapter-7 --holds chapter-7 http://127.0.0.1:17032/v1/services/review/check
ask --status 404 --holds 'no minion' http://127.0.0.1:17031/v1/services/unknown/

say "a job that can never run is refused"
if ctl job submit --organisation archive --accelerators 16 --command run; then exit 1; fi

say "a long job, during which the entry that plans is killed"
ctl --json job submit --organisation candidates --accelerators 8 --tasks 2 --adjacency rack \
    --command 'sleep 6000ms' --key chapter-9 >"$logs/job.json"
ask --within 10 --holds '"state":"running"' \
    http://127.0.0.1:17032/v1/jobs/norte.candidates.chapter-9 >/dev/null
if ctl --json rules status | grep -q '"planner":"e1"'; then
    kill -9 "$e1"
    other=17032
else
    kill -9 "$e2"
    other=17031
fi
ask --method POST --body after-kill --holds after-kill \
    "http://127.0.0.1:$other/v1/services/review/check"
ctl job wait norte.candidates.chapter-9
ctl job list
ctl workers
