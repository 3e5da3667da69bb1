#!/usr/bin/env bash
# Runs one scenario of load with real processes and prints key=value lines for each policy.
#   Meta/measure.sh dawn|rush|steady [--policy=P ...] [--seed=N] [--seconds=S] [--boxes=N]
# Without --policy it runs ours and the three baselines, one after the other, with the same arrivals.
set -euo pipefail
cd "$(dirname "$0")/.."
scenario=${1:?usage: Meta/measure.sh SCENARIO [--policy=P ...] [--seed=N] [--seconds=S] [--boxes=N]}
shift
policies=()
seed=1
seconds=40
boxes=7
for word in "$@"; do
    case $word in
    --policy=*) policies+=("${word#*=}") ;;
    --seed=*) seed=${word#*=} ;;
    --seconds=*) seconds=${word#*=} ;;
    --boxes=*) boxes=${word#*=} ;;
    *) echo "measure.sh: unknown flag $word" >&2; exit 2 ;;
    esac
done
[ ${#policies[@]} -gt 0 ] || policies=(cleatbeam baseline-round-robin-fifo baseline-least-outstanding-fifo baseline-least-outstanding-strict)
case $scenario in rush) engines=12 ;; *) engines=9 ;; esac
services=3
export CLUSTER_THREADS=${CLUSTER_THREADS:-700} CLUSTER_LOG=warning
source Meta/cluster.sh

join() { local IFS=,; echo "$*"; }

run_policy() {
    local policy=$1 ports=() callers=() operators=() platform number
    cluster_standin platform platform; platform=$cluster_port
    for number in $(seq "$engines"); do cluster_standin "engine-$number" endpoint --slots=6; ports+=("$cluster_port"); done
    for number in $(seq "$services"); do cluster_standin "service-$number" endpoint --slots=2; ports+=("$cluster_port"); done
    for number in $(seq "$boxes"); do
        cluster_box "box-$number" "hall-$((number % 3 + 1))" "$platform"
        callers+=("$cluster_port"); operators+=("$cluster_operator_port")
    done
    "$cluster_build/standin" settings --scenario="$scenario" --policy="$policy" --box_count="$boxes" --endpoint_ports="$(join "${ports[@]}")" >"$cluster_folder/settings.yaml"
    "$cluster_build/cleatbeam" publish "$cluster_folder/settings.yaml" --platform="127.0.0.1:$platform" >/dev/null
    for number in "${operators[@]}"; do cluster_wait_ready "$number"; done
    "$cluster_build/standin" load --scenario="$scenario" --policy="$policy" --seed="$seed" --seconds="$seconds" --box_ports="$(join "${callers[@]}")" \
        --operator_ports="$(join "${operators[@]}")" --endpoint_ports="$(join "${ports[@]}")" --platform_port="$platform"
    if [ -n "${CLUSTER_KEEP:-}" ]; then
        for number in "${operators[@]}"; do curl -s "http://127.0.0.1:$number/metrics"; done >"$CLUSTER_KEEP.$policy.metrics"
    fi
    cluster_stop
    rm -f "$cluster_folder"/*
}

for policy in "${policies[@]}"; do run_policy "$policy"; done
