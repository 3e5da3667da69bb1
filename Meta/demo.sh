#!/usr/bin/env bash
# Installs, builds, starts platform, engines, a plain service and three boxes, publishes settings, sends a streamed chat
# and a not-repeatable call, and says what happened. Ends with 0 only when both answers are whole.
set -euo pipefail
cd "$(dirname "$0")/.."
[ "${CLEATBEAM_SKIP_BUILD:-}" ] || { Meta/install.sh; Meta/build.sh; }
source Meta/cluster.sh

cluster_standin platform platform; platform=$cluster_port
ports=()
for number in $(seq 9); do cluster_standin "engine-$number" endpoint; ports+=("$cluster_port"); done
for number in $(seq 3); do cluster_standin "service-$number" endpoint; ports+=("$cluster_port"); done
port_list=$(IFS=,; echo "${ports[*]}")
"$cluster_build/standin" settings --scenario=dawn --box_count=3 --endpoint_ports="$port_list" >"$cluster_folder/settings.yaml"
for number in 1 2 3; do
    cluster_box "box-$number" "hall-$number" "$platform"
    callers[number]=$cluster_port
    operators[number]=$cluster_operator_port
done
echo "== publish"
"$cluster_build/cleatbeam" publish "$cluster_folder/settings.yaml" --platform="127.0.0.1:$platform"
for number in 1 2 3; do cluster_wait_ready "${operators[number]}"; done

echo "== streamed chat through box 1"
curl -sSN -D "$cluster_folder/chat.head" "http://127.0.0.1:${callers[1]}/v1/chat/completions" \
    -H 'Authorization: Bearer key-of-account-0' -H 'Content-Type: application/json' -H 'X-Cleatbeam-Class: lookup' \
    -d '{"model":"stand-in","stream":true,"messages":[{"role":"user","content":"which thrush is this"}],"standin":{"token":"demo","length":12}}' | tee "$cluster_folder/chat.body"
grep -q 'demo:11 ' "$cluster_folder/chat.body"
grep -q '^data: \[DONE\]' "$cluster_folder/chat.body"

echo "== not-repeatable call through box 2"
stamp=$(printf '%012x' "$(date +%s%3N)")
curl -sS -D "$cluster_folder/call.head" "http://127.0.0.1:${callers[2]}/records/sightings" \
    -H 'Authorization: Bearer key-of-account-0' -H 'Content-Type: application/json' -H 'X-Cleatbeam-Class: sighting' \
    -H "Idempotency-Key: ${stamp:0:8}-${stamp:8}-7000-8000-000000000001" -d '{"standin":{"token":"demo-sighting"}}' | tee "$cluster_folder/call.body"
echo
grep -q '"demo-sighting"' "$cluster_folder/call.body"
grep -qi '^X-Cleatbeam-Outcome: completed' "$cluster_folder/call.head"

echo "== why the chat went where it went"
id=$(grep -i '^X-Cleatbeam-Request-Id' "$cluster_folder/chat.head" | tr -d '\r' | cut -d' ' -f2)
"$cluster_build/cleatbeam" explain "$id" --box_address="127.0.0.1:${operators[1]}"
echo "== where to look: operators' side of the boxes on ports ${operators[*]}: /metrics /status /ready"

echo "== the users' platform: a store, two engines, a plain service, three boxes"
cluster_standin store store; store=$cluster_port
for name in engine-a engine-b; do cluster_standin "$name" server --store="127.0.0.1:$store" --service=model --incarnation="$name"; done
cluster_standin desk server --store="127.0.0.1:$store" --service=desk --incarnation=desk
cat >"$cluster_folder/config.json" <<'CONFIG'
{"version": 1, "services": [{"name": "model", "engine": {"slots": 64, "kv_cache_tokens": 289584}}, {"name": "desk"}],
 "routes": [{"name": "chat", "host": "demo.example", "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 5000, "service": "model"},
            {"name": "sighting", "host": "demo.example", "path_prefix": "/sighting/", "kind": "non_idempotent", "timeout_ms": 5000, "service": "desk"}],
 "tenants": [{"name": "censo", "api_keys": ["demo-key"]}]}
CONFIG
cluster_put_record "$store" keyed.op config "$cluster_folder/config.json"
for number in 1 2 3; do
    cluster_route_box "route-$number" "hall-$number" "$store"
    fronts[number]=$cluster_port
    cluster_wait_ready_path "$cluster_ready_port" /readiness
done
ask() { curl -sSN "http://127.0.0.1:$1$2" -H 'Host: demo.example' -H 'X-Key: demo-key' -H "X-Attempt-Id: $3" -H 'X-Deadline-Ms: 5000' -d 'body' "${@:4}"; }
ask "${fronts[1]}" /chat/now demo-chat -H 'X-Standin-Events: 3' | tee "$cluster_folder/route-chat.body"
grep -q '^data: demo-chat:3' "$cluster_folder/route-chat.body"
ask "${fronts[2]}" /sighting/new demo-sighting -D "$cluster_folder/route-call.head" | tee "$cluster_folder/route-call.body"
echo
grep -qx 'ran demo-sighting' "$cluster_folder/route-call.body"
grep -qi '^X-Response-Stamp: ' "$cluster_folder/route-call.head"
[ "$(ask "${fronts[3]}" /sighting/new demo-wrong -H 'X-Key: wrong' -o /dev/null -w '%{http_code}')" = 400 ]
echo "== the chat's story, from the log of its box"
for tries in $(seq 100); do
    "$cluster_build/cleatbeam" explain demo-chat --log="$cluster_folder/route-1.log" >"$cluster_folder/story" 2>/dev/null &&
        grep -q 'the client was told 200' "$cluster_folder/story" && break
    sleep 0.1
done
cat "$cluster_folder/story"
grep -q 'the client was told 200' "$cluster_folder/story"
echo "demo: both answers are whole, on the own interface and on the users' platform"
