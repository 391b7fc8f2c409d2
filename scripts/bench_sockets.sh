#!/usr/bin/env bash
# Measures one entry VM on real sockets; the load generator, the baseline proxy and the backend
# stand-ins run in separate processes. Prints one JSON finding per line.
# Usage: scripts/bench_sockets.sh PYTHON [REQUESTS]
set -euo pipefail
cd "$(dirname "$0")/.."
python=${1:-python3}
requests=${2:-100000}
pids=()

stop() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop EXIT
trap 'exit 1' INT TERM

start() {
    local module=$1
    shift
    "$python" -m "hibiscushaven.bench.$module" "$@" >&2 &
    pids+=($!)
}

read -r http_port peer_port baseline_port server_port < <("$python" -m hibiscushaven.bench.sockets ports 4)
start socket_entry "$http_port" "$peer_port" "$server_port"
start sockets baseline "$baseline_port" "$server_port"
for number in 0 1 2 3; do start sockets backend "$server_port" "$number"; done
"$python" -m hibiscushaven.bench.sockets drive \
    "${pids[0]}" "$http_port" "${pids[1]}" "$baseline_port" --requests "$requests"
