#!/usr/bin/env bash
# Compares a call sent straight to a stand-in with the same call through one box, in turn, in one run.
set -euo pipefail
cd "$(dirname "$0")/.."
export CLUSTER_LOG=warning
source Meta/cluster.sh
cluster_standin platform platform; platform=$cluster_port
cluster_standin engine endpoint --token_ms=1; engine=$cluster_port
cluster_standin service endpoint; service=$cluster_port
ports=$engine
for number in $(seq 8); do ports+=,$engine; done
cluster_box box-1 hall-1 "$platform"; callers=$cluster_port; operators=$cluster_operator_port
"$cluster_build/standin" settings --scenario=dawn --box_count=1 --endpoint_ports="$ports,$service" >"$cluster_folder/settings.yaml"
"$cluster_build/cleatbeam" publish "$cluster_folder/settings.yaml" --platform="127.0.0.1:$platform" >/dev/null
cluster_wait_ready "$operators"
"$cluster_build/standin" probe --box_ports="$callers" --endpoint_ports="$engine,$service" "$@"
