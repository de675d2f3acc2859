# Starts and ends the nodes of a script. Sourced by the run.sh of a case with
# the working directory at the root of the repository.

readonly STANDIN=review/bin/mesh_standin
readonly PROXY=target/wisteriaproxy
readonly ZONES=(north east south west)
declare -a NODE_PIDS=()
FOLDER=$(mktemp -d)

# Ends all processes of the script, by their ids, and removes its files.
cleanup() {
  kill_nodes
  [ -z "${STANDIN_PID:-}" ] || kill -KILL "$STANDIN_PID" 2>/dev/null || true
  rm -rf "$FOLDER"
}

# Fills PORTS with ports that are free on all addresses.
choose_ports() {
  mapfile -t PORTS < <("$STANDIN" ports)
  [ "${#PORTS[@]}" = 7 ]
}

# Writes the settings of node $1, as the template of the deploy file lays them
# out, with the figures of the small site.
write_settings() {
  local ip=127.77.1.$1
  cat >"$FOLDER/node-$1.toml" <<SETTINGS
name = "sidecar-$1"
ip = "$ip"
failure_domain = "${ZONES[($1 - 1) % 4]}"
service = "lookup"
backend = "$ip:${PORTS[1]}"
store = "127.77.0.1:${PORTS[0]}"
caller_listen = "$ip:${PORTS[2]}"
peer_listen = "$ip:${PORTS[4]}"
ready_listen = "$ip:${PORTS[3]}"
operator_listen = "$ip:${PORTS[5]}"
beat_port = ${PORTS[6]}
stop_grace = "6s"
retry_ratio = 0.2
retry_window = "10s"
retry_slack = 62
rate_tolerance = 0.25
rate_slack = 20
rate_window = "5s"
cold_over = 1.5
cold_slack = 5
link_mbps = 1000.0
memory_mb = 260
SETTINGS
}

# Starts nodes 1 to $1 with the command of the deploy file.
start_nodes() {
  local node
  for ((node = 1; node <= $1; ++node)); do
    write_settings "$node"
    WISTERIARILL_CONFIG="$FOLDER/node-$node.toml" "$PROXY" \
      >>"$FOLDER/node-$node.log" 2>&1 &
    NODE_PIDS+=($!)
  done
}

kill_nodes() {
  local pid
  for pid in "${NODE_PIDS[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  NODE_PIDS=()
}

# Starts the stand-in for script $1 with $2 nodes and the record at $3.
start_standin() {
  "$STANDIN" "$1" "${TROUBLE:-1}" "$2" "${PORTS[0]}" "${PORTS[1]}" \
    "${PORTS[2]}" "${PORTS[3]}" "$FOLDER" "$3" &
  STANDIN_PID=$!
}
