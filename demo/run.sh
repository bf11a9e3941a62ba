#!/usr/bin/env bash
# Runs one of the two example deployments on this machine at a reduced scale: starts the platform
# stand-in and two targets with a node each for every service, publishes the rules, and makes calls
# at and over capacity.
#
# usage: demo/run.sh [sagbru|esernyo]
# Environment: PYTHON is the interpreter, INSTANCES the number of instances per service, LOAD an
# alternative configuration file of the load tool, REPORT a file for the JSON report.
set -euo pipefail
cd "$(dirname "$0")/.."

deployment="${1:-sagbru}"
python="${PYTHON:-.venv/bin/python}"
instances="${INSTANCES:-2}"
settings="src/standins/deployments/$deployment"
rules="examples/$deployment"
load="${LOAD:-$settings/load.yaml}"
ready_timeout_s=20
adoption_timeout_s=20
export PYTHONPATH=src

if [[ ! -d "$settings" || ! -d "$rules" ]]; then
    echo "demo: no such deployment: $deployment (sagbru or esernyo)" >&2
    exit 2
fi

work="$(mktemp -d)"
pids=()

stop_all() {
    if ((${#pids[@]})); then
        kill "${pids[@]}" 2>/dev/null || true
        sleep 1
        kill -KILL "${pids[@]}" 2>/dev/null || true
        wait "${pids[@]}" 2>/dev/null || true
    fi
    rm -rf "$work"
}
trap stop_all EXIT

# start NAME MODULE ARGUMENTS...: starts a process and waits for its ready line.
start() {
    local name="$1"
    shift
    "$python" -m "$@" >"$work/$name.out" 2>"$work/$name.err" &
    pids+=("$!")
    local polls_left=$((ready_timeout_s * 20))
    until grep -q '"ready":true' "$work/$name.out"; do
        if ((--polls_left == 0)) || ! kill -0 "${pids[-1]}" 2>/dev/null; then
            echo "demo: $name did not start" >&2
            cat "$work/$name.err" >&2
            exit 1
        fi
        sleep 0.05
    done
}

# port_of NAME FIELD: prints a port from the ready line of a process.
port_of() {
    sed -n "s/.*\"$2\": *\([0-9]*\).*/\1/p" "$work/$1.out"
}

# write_node_settings NAME SERVICE ZONE: writes the settings file of a node.
write_node_settings() {
    cat >"$work/$1.yaml" <<EOF
instance: $1
host: host-$1
zone: zone-$3
region: region-1
service: $2
address: 127.0.0.1
table: {address: 127.0.0.1, port: $(port_of platform port)}
admin_token: $token
log_level: WARNING
EOF
}

token="$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')"
echo -n "$token" >"$work/token"

echo "demo: starting $deployment" >&2
start platform standins.platform --port 0
zone=0
nodes=()
targets=()
for file in "$rules"/*.yaml; do
    service="$(basename "$file" .yaml)"
    for ((number = 1; number <= instances; number++)); do
        node="$service-$number"
        zone=$((zone % 4 + 1))
        write_node_settings "$node" "$service" "$zone"
        start "$node" pollenbay.daemon --settings "$work/$node.yaml"
        outbound="$(port_of "$node" outbound)"
        start "$node-target" standins.target --config "$settings/$service.yaml" \
            --node-port "$outbound"
        nodes+=("$node")
        targets+=("$node-target")
    done
done

echo "demo: publishing $rules" >&2
admin="http://127.0.0.1:$(port_of "${nodes[0]}" admin)"
"$python" -m pollenbay.tool publish "$rules" --admin "$admin" --token-file "$work/token" \
    --author demo --wait "$adoption_timeout_s" >&2

echo "demo: calling through ${#nodes[@]} nodes, at and over capacity" >&2
arguments=()
for node in "${nodes[@]}"; do
    arguments+=(--port "$(port_of "$node" callers)")
done
for target in "${targets[@]}"; do
    arguments+=(--target-control "$(port_of "$target" control_port)")
done
"$python" -m standins.caller --config "$load" "${arguments[@]}" \
    >"$work/report.json" 2>"$work/load.out" || { cat "$work/load.out" >&2; exit 1; }
cat "$work/load.out"
if [[ -n "${REPORT:-}" ]]; then
    cp "$work/report.json" "$REPORT"
fi
