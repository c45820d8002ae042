#!/usr/bin/env bash
# Starts the platform stand-ins, engines, services and three daemons on the
# loopback interface, runs tools/demo_session.py against them and stops them.
# Exits with 1 if a step fails or a process survives; the logs are then kept.
set -u
cd "$(dirname "$0")/.."
python=${PYTHON:-.venv/bin/python}
demo=examples/demo
logs=$(mktemp -d)
pids=()

start() {
    name=$1
    shift
    "$python" -m "$@" >"$logs/$name.out" 2>"$logs/$name.err" &
    pids+=($!)
    echo "$!" >"$logs/$name.pid"
}

stop_all() {
    for pid in "${pids[@]}"; do
        kill -TERM "$pid" 2>/dev/null
    done
    for pid in "${pids[@]}"; do
        for _ in $(seq 50); do
            kill -0 "$pid" 2>/dev/null || break
            sleep 0.1
        done
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
}
trap stop_all EXIT

start log anvilhall_standins.logserver --port 18200
start list anvilhall_standins.listserver --port 18201 \
    --members $demo/members.json --lag 0.5
for number in 0 1 2 3 4 5; do
    start "fitting-assist-$number" anvilhall_standins.engine \
        --port $((18300 + number))
done
for number in 0 1; do
    start "shop-ledger-$number" anvilhall_standins.service \
        --port $((18400 + number))
done
for number in 1 2 3; do
    start "entry-$number" anvilhall.daemon $demo/entry-$number.json
done

"$python" tools/demo_session.py "$logs"
result=$?
stop_all
trap - EXIT
for pid in "${pids[@]}"; do
    if kill -0 "$pid" 2>/dev/null; then
        echo "FAILED  process $pid still runs"
        result=1
    fi
done
if [ $result -ne 0 ]; then
    echo "process logs are in $logs"
else
    rm -r "$logs"
fi
exit $result
