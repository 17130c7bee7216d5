#!/usr/bin/env bash
# Runs two services of three instances each on loopback, with their daemons and the log stand-in,
# and sends load through a call chain of both services. Prints the answers by class and outcome.
# Usage: scripts/demo.sh [FIRST_PORT]; runs the programs in build/bin.
set -euo pipefail
cd "$(dirname "$0")/.."

first_port=${1:-20000}
bin=build/bin
work=$(mktemp -d)
log_address=127.0.0.1:$first_port
token=demo-token
pids=()
data_addresses=()
admin_addresses=()

stop_started() {
    local pid
    # Stops in reverse order of the start, and lets backend servers and daemons drain.
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
        kill "${pids[i]}" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap stop_started EXIT

start() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>&1 &
    pids+=($!)
}

port_of() { # INSTANCE OFFSET
    echo $((first_port + 10 * $1 + $2))
}

start_daemon() { # INSTANCE NAME DATA_CENTRE
    local data control admin
    data=127.0.0.1:$(port_of "$1" 0)
    control=127.0.0.1:$(port_of "$1" 2)
    admin=127.0.0.1:$(port_of "$1" 3)
    cat >"$work/$2.yaml" <<EOF
id: $2
region: vn-south
dataCentre: $3
dataAddress: $data
peerAddress: 127.0.0.1:$(port_of "$1" 1)
controlAddress: $control
adminAddress: $admin
adminToken: $token
seeds: [127.0.0.1:$(port_of 1 2), 127.0.0.1:$(port_of 2 2), 127.0.0.1:$(port_of 3 2)]
log: $log_address
EOF
    start "$2" "$bin/fuchsiadock" daemon --settings "$work/$2.yaml"
    data_addresses+=("$data")
    admin_addresses+=("$admin")
}

start_backend() { # INSTANCE SERVICE OPTIONS...
    local instance=$1 service=$2
    shift 2
    start "$service-backend-$instance" "$bin/fuchsiadock-bench" backend \
        --listen "127.0.0.1:$(port_of "$instance" 4)" --daemon "127.0.0.1:$(port_of "$instance" 0)" \
        --service "$service" --seed "$instance" "$@"
}

publish_note() {
    for _ in $(seq 40); do
        if "$bin/fuchsiadock" note publish examples/demo/note.yaml \
            --admin "${admin_addresses[0]}" --token-file "$work/token" >"$work/publish.out" 2>&1; then
            cat "$work/publish.out"
            return
        fi
        sleep 0.25
    done
    echo "the release note was not accepted:"
    cat "$work/publish.out"
    return 1
}

wait_for_answers() {
    cat >"$work/ready.yaml" <<EOF
classes:
  - {name: balance, service: redeem, path: /balance, customer: south-schools}
EOF
    for _ in $(seq 20); do
        if "$bin/fuchsiadock-bench" load --daemons "$daemons" --mix "$work/ready.yaml" \
            --rate 60 --seconds 1 --all-complete >"$work/ready.out"; then
            return
        fi
    done
    echo "not every daemon gives complete answers:"
    cat "$work/ready.out"
    return 1
}

echo "$token" >"$work/token"
start log "$bin/fuchsiadock-bench" log --listen "$log_address"
data_centres=(a b c)
for i in 1 2 3; do
    start_daemon "$i" "redeem-$i" "${data_centres[i - 1]}"
    start_daemon $((i + 3)) "wallet-$i" "${data_centres[i - 1]}"
done
publish_note
for i in 1 2 3; do
    start_backend "$i" redeem --slots 14 --connections 95 --time-ms 10 \
        --call "/redemptions: wallet POST /debits once" --call "/balance: wallet GET /balance"
    start_backend $((i + 3)) wallet --slots 9 --connections 65 --time-ms 5
done
daemons=$(IFS=,; echo "${data_addresses[*]}")
wait_for_answers
echo "two services of three instances each, 10 s at 200 requests/s, chain redeem -> wallet"
"$bin/fuchsiadock-bench" load --daemons "$daemons" \
    --mix examples/demo/mix.yaml --rate 200 --seconds 10 --seed 1
