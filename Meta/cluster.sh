# Functions that start and end the processes of a trial run on loopback. Sourced, not run.
# Every process started is ended by its own id when the script that sources this ends.

cluster_ids=()
cluster_folder=$(mktemp -d)
cluster_build=${CLEATBEAM_BUILD:-Build}

cluster_stop() {
    local id
    for id in "${cluster_ids[@]}"; do kill -TERM "$id" 2>/dev/null || true; done
    for id in "${cluster_ids[@]}"; do wait "$id" 2>/dev/null || true; done
    cluster_ids=()
}
cluster_clean() { cluster_stop; rm -rf "$cluster_folder"; }
trap cluster_clean EXIT

# cluster_wait_file FILE: waits until it is there.
cluster_wait_file() {
    local tries
    for tries in $(seq 600); do [ -s "$1" ] && return 0; sleep 0.05; done
    echo "did not start: $1" >&2
    return 1
}

# cluster_standin NAME ROLE FLAGS...: starts a stand-in and puts its port into cluster_port.
cluster_standin() {
    local name=$1 role=$2
    shift 2
    "$cluster_build/standin" "$role" --port_file="$cluster_folder/$name.port" "$@" 2>"$cluster_folder/$name.log" &
    cluster_ids+=($!)
    cluster_wait_file "$cluster_folder/$name.port"
    cluster_port=$(cat "$cluster_folder/$name.port")
}

# cluster_box NAME DOMAIN PLATFORM_PORT: starts a box; its ports go into cluster_port and cluster_operator_port.
cluster_box() {
    local name=$1
    cat >"$cluster_folder/$name.yaml" <<BOX
name: $name
failure_domain: $2
listen: 127.0.0.1:0
operator_listen: 127.0.0.1:0
platform: 127.0.0.1:$3
threads: ${CLUSTER_THREADS:-256}
ports_file: $cluster_folder/$name.ports
BOX
    "$cluster_build/cleatbeam" serve --box="$cluster_folder/$name.yaml" --balancer_lag_ms=200 --log_level="${CLUSTER_LOG:-info}" 2>"$cluster_folder/$name.log" &
    cluster_box_id=$!
    cluster_ids+=($cluster_box_id)
    cluster_wait_file "$cluster_folder/$name.ports"
    read -r cluster_port cluster_operator_port <"$cluster_folder/$name.ports"
}

# cluster_wait_ready OPERATOR_PORT
cluster_wait_ready() { cluster_wait_ready_path "$1" /ready; }

# cluster_wait_ready_path PORT PATH
cluster_wait_ready_path() {
    local tries
    for tries in $(seq 600); do
        curl -sf "http://127.0.0.1:$1$2" >/dev/null && return 0
        sleep 0.05
    done
    echo "box on port $1 did not become ready" >&2
    return 1
}

# cluster_route_box NAME DOMAIN STORE_PORT: starts a box of the users' platform; its ports go into cluster_port,
# cluster_ready_port and cluster_metrics_port.
cluster_route_box() {
    local name=$1
    cat >"$cluster_folder/$name.json" <<BOX
{"node_name": "$name", "zone": "$2", "listen": {"front": "127.0.0.1:0", "ready": "127.0.0.1:0"},
 "limits": {"memory_mb": 110, "max_fds": 4100}, "provider": {"address": "127.0.0.1:$3"},
 "bounds": {"grace_s": 8, "config_apply_ms": 2000, "revoke_strict": true, "revoke_ms": 5000, "drain_ms": 2000,
            "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52}}
BOX
    CLEATBEAM_CONFIG="$cluster_folder/$name.json" "$cluster_build/cleatbeam" route --metrics_port=0 \
        --ports_file="$cluster_folder/$name.ports" >"$cluster_folder/$name.log" 2>&1 &
    cluster_ids+=($!)
    cluster_wait_file "$cluster_folder/$name.ports"
    read -r cluster_port cluster_ready_port cluster_metrics_port <"$cluster_folder/$name.ports"
}

# cluster_put_record STORE_PORT TOPIC KEY FILE: appends the file to a keyed topic of the stand-in store.
cluster_put_record() {
    local key=$3 size
    size=$((1 + ${#key} + $(stat -c %s "$4")))
    {
        # shellcheck disable=SC2059 # The format is made of the bytes of the length.
        printf "$(printf '\\x%02x\\x%02x\\x%02x\\x%02x\\x%02x' $((size >> 24 & 255)) $((size >> 16 & 255)) $((size >> 8 & 255)) $((size & 255)) ${#key})"
        printf '%s' "$key"
        cat "$4"
    } | curl -sS --data-binary @- "http://127.0.0.1:$1/log-append?topic=$2&part=0" >/dev/null
}
