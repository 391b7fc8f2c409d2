#!/usr/bin/env bash
# Runs a deployment on loopback addresses as separate processes; Ctrl-C or SIGTERM stops them.
# Usage: scripts/demo.sh [DEPLOYMENT.ini]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-examples/retalho_sul.ini}
if [[ ! -f $deployment ]]; then
    echo "error: $deployment: no such deployment file" >&2
    exit 2
fi
logs=$(mktemp -d)
# Time limits in seconds: entry VMs hand over their work and leave first, then the other processes
# terminate.
leave_s=45
end_s=5
# Process ids by group. The id of a background process cannot be reused until the shell has waited
# for the process.
entries=()
others=()
loader=
declare -A names=()

# end_all LIMIT_S PID...: sends SIGTERM, waits up to the limit, then sends SIGKILL to the remaining
# processes.
end_all() {
    local limit=$1 pid
    shift
    for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
    local end=$((SECONDS + limit))
    for pid in "$@"; do
        while kill -0 "$pid" 2>/dev/null && ((SECONDS < end)); do sleep 0.1; done
        if kill -KILL "$pid" 2>/dev/null; then echo "killed ${names[$pid]}" >&2; fi
        wait "$pid" 2>/dev/null || true
    done
}

stop() {
    local code=$?
    trap '' INT TERM
    trap - EXIT
    if [[ -n $loader ]]; then end_all "$end_s" "$loader"; fi
    if ((${#entries[@]})); then
        echo "Stopping: entry VMs hand over their work first, which takes several seconds."
        end_all "$leave_s" "${entries[@]}"
    fi
    if ((${#others[@]})); then end_all "$end_s" "${others[@]}"; fi
    rm -rf "$logs"
    echo "Stopped."
    exit "$code"
}
trap stop EXIT
trap 'exit 0' INT TERM

# start NAME ARGUMENT...: starts a process in the background. The shell makes background processes
# ignore SIGINT, so Ctrl-C reaches only this script, which stops the entry VMs before the others.
start() {
    local name=$1
    shift
    hibiscushaven "$@" >"$logs/$name" 2>&1 &
    names[$!]=$name
}

report_end() {
    echo "error: process ${names[$1]} ended early; its last lines:" >&2
    tail -n 5 "$logs/${names[$1]}" >&2
}

hibiscushaven standin describe --deployment "$deployment" >"$logs/describe"
start platform standin platform --deployment "$deployment"
others+=($!)
while read -r kind name _; do
    case $kind in
        failure_domain)
            start "backends-$name" standin backend \
                --deployment "$deployment" --failure-domain "$name"
            others+=($!)
            ;;
        vm)
            start "entry-$name" entry --settings "$deployment" --vm "$name"
            entries+=($!)
            ;;
    esac
done <"$logs/describe"
echo "Started ${#entries[@]} entry VMs and ${#others[@]} stand-in processes; waiting until they are ready."

hibiscushaven standin load --deployment "$deployment" &
loader=$!
names[$loader]=load
ended=
wait -n -p ended "$loader" "${entries[@]}" "${others[@]}" && code=0 || code=$?
if [[ $ended != "$loader" ]]; then
    report_end "$ended"
    exit 1
fi
loader=
if ((code)); then exit "$code"; fi
echo "Logs are in $logs until the demo stops. Press Ctrl-C to stop."
# The processes run until they get a signal; if one ends earlier, the demo ends with an error.
wait -n -p ended "${entries[@]}" "${others[@]}" || true
report_end "$ended"
exit 1
