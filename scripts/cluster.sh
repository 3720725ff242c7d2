# Starts and stops a small system of real processes on loopback. Sourced by the demo, the bench and the
# process tests, which set BUILD (the build folder) and may set the variables below.

AGENTS=${AGENTS:-11}
ENTRIES=${ENTRIES:-2}
ZONES=${ZONES:-3}
SLOTS=${SLOTS:-8}
SERVICE=${SERVICE:-circles}
BASE_PORT=${BASE_PORT:-21000}
AGENT_EXTRA=${AGENT_EXTRA:-}
ENTRY_EXTRA=${ENTRY_EXTRA:-}
# Settings for both daemons; the bench compares policies with them.
SHARED_EXTRA=${SHARED_EXTRA:-}
CLUSTER_DIR=$(mktemp -d)
declare -A PIDS

LOG_ADDRESS=127.0.0.1:$((BASE_PORT))
entry_http() { echo 127.0.0.1:$((BASE_PORT + 100 + $1)); }
entry_rpc() { echo 127.0.0.1:$((BASE_PORT + 200 + $1)); }
entry_operator() { echo 127.0.0.1:$((BASE_PORT + 300 + $1)); }
agent_rpc() { echo 127.0.0.1:$((BASE_PORT + 400 + $1)); }
agent_operator() { echo 127.0.0.1:$((BASE_PORT + 500 + $1)); }
target_address() { echo 127.0.0.1:$((BASE_PORT + 600 + $1)); }

write_entry_settings() {
    local seeds
    seeds=$(for e in $(seq 1 "$ENTRIES"); do entry_rpc "$e"; done | paste -sd,)
    cat > "$CLUSTER_DIR/entry-$1.ini" <<INI
[entry]
id=entry-$1
http_address=$(entry_http "$1")
rpc_address=$(entry_rpc "$1")
operator_address=$(entry_operator "$1")
[place]
region=quebec
zone=zone-$(( ($1 - 1) % ZONES + 1 ))
[entries]
seeds=$seeds
[platform]
log_address=$LOG_ADDRESS
[keys]
cluster_key=demo-cluster-key
ticket_key=demo-ticket-key
$ENTRY_EXTRA
$SHARED_EXTRA
INI
}

write_agent_settings() {
    # Three workers per rack, as in the users' installation; racks are assigned to the zones in turn.
    local rack=$(( ($1 - 1) / 3 + 1 ))
    cat > "$CLUSTER_DIR/agent-$1.ini" <<INI
[agent]
id=agent-$1
service=$SERVICE
rpc_address=$(agent_rpc "$1")
operator_address=$(agent_operator "$1")
target_address=$(target_address "$1")
[place]
region=quebec
zone=zone-$(( (rack - 1) % ZONES + 1 ))
rack=rack-$rack
[entries]
seeds=$(entry_rpc 1)
[keys]
cluster_key=demo-cluster-key
$AGENT_EXTRA
$SHARED_EXTRA
INI
}

# start NAME COMMAND...: runs the command in the background and appends its output to NAME.log.
start() {
    local name=$1
    shift
    "$@" >> "$CLUSTER_DIR/$name.log" 2>&1 &
    PIDS[$name]=$!
}

start_log() { start log "$BUILD/tests/hawthornpin-stand-in" log "$LOG_ADDRESS"; }
start_target() { start "target-$1" "$BUILD/tests/hawthornpin-stand-in" target "$(target_address "$1")" "$SLOTS"; }
start_agent() { write_agent_settings "$1"; start "agent-$1" "$BUILD/main/hawthornpin-agent" --settings "$CLUSTER_DIR/agent-$1.ini"; }
start_entry() { write_entry_settings "$1"; start "entry-$1" "$BUILD/main/hawthornpin-entry" --settings "$CLUSTER_DIR/entry-$1.ini"; }

hawthornpin() { "$BUILD/main/hawthornpin" "$@"; }

# wait_until SECONDS COMMAND...: repeats the command until it succeeds.
wait_until() {
    local end=$((SECONDS + $1))
    shift
    until "$@" > /dev/null 2>&1; do
        [ $SECONDS -lt $end ] || { echo "timed out waiting for: $*" >&2; return 1; }
        sleep 0.1
    done
}

# Succeeds when entry $1 knows at least $2 serving members.
has_members() { [ "$(hawthornpin members --operator "$(entry_operator "$1")" | grep -o '"state":"serving"' | wc -l)" -ge "$2" ]; }
is_answering() { hawthornpin members --operator "$1"; }

start_cluster() {
    start_log
    for e in $(seq 1 "$ENTRIES"); do start_entry "$e"; done
    for a in $(seq 1 "$AGENTS"); do start_target "$a"; start_agent "$a"; done
    wait_until 20 hawthornpin publish "${EXAMPLES:-examples}" --log "$LOG_ADDRESS"
    for e in $(seq 1 "$ENTRIES"); do wait_until 20 has_members "$e" "$AGENTS"; done
    # An agent is ready once its service's contract is in force.
    for a in $(seq 1 "$AGENTS"); do wait_until 20 grep -q contract_in_force "$CLUSTER_DIR/agent-$a.log"; done
}

stop_cluster() {
    # Signalling a process that has already ended must not end the caller, which may run with -e.
    set +e
    local name
    for name in "${!PIDS[@]}"; do kill -CONT "${PIDS[$name]}" 2> /dev/null; kill "${PIDS[$name]}" 2> /dev/null; done
    local end=$((SECONDS + 10))
    for name in "${!PIDS[@]}"; do
        while kill -0 "${PIDS[$name]}" 2> /dev/null && [ $SECONDS -lt $end ]; do sleep 0.05; done
        kill -9 "${PIDS[$name]}" 2> /dev/null
    done
    wait 2> /dev/null
    PIDS=()
    rm -rf "$CLUSTER_DIR"
}
