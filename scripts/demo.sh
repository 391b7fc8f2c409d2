#!/usr/bin/env bash
# Runs one deployment on loopback as separate processes and stops them on Ctrl-C or SIGTERM.
# Usage: scripts/demo.sh [DEPLOYMENT.ini]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-examples/retalho_sul.ini}
logs=$(mktemp -d)
pids=()

stop() {
    trap - INT TERM EXIT
    # Entry VMs first, so that they hand over while their backend servers still run.
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$logs"
}
trap stop EXIT
trap 'exit 0' INT TERM

start() {
    local name=$1
    shift
    hibiscushaven "$@" >"$logs/$name" 2>&1 &
    pids+=($!)
}

hibiscushaven standin describe --deployment "$deployment" >"$logs/describe"
start platform standin platform --deployment "$deployment"
while read -r kind name _; do
    case $kind in
        failure_domain) start "backends-$name" standin backend --deployment "$deployment" --failure-domain "$name" ;;
        vm) start "entry-$name" entry --settings "$deployment" --vm "$name" ;;
    esac
done <"$logs/describe"
hibiscushaven standin load --deployment "$deployment"
echo "Logs are in $logs until the demo stops. Press Ctrl-C to stop."
# The processes run until a signal; one that ends early ends the demo.
wait -n "${pids[@]}" || true
echo "a process of the demo ended:" >&2
tail -n 5 "$logs"/* >&2
exit 1
