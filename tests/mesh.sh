# Functions that run a mesh of real processes on the loopback interface.
# Sourced by run-demo and, through tap.sh, by the tests and measurements.  All
# processes are ended by the ids that were recorded when they started.
#
# Settings, from the sourcing script or the environment:
# MESH_OUT         build directory with the programs
# MESH_DAEMON_OUT  build directory of cardamomd, if it is another one
# MESH_BASE        first port: the platform's; node I has the ports from
#                  MESH_BASE + 10 + 4 * I on, see mesh_port
# MESH_DIR         directory of logs and output
# MESH_DCS         --dcs of the nodes: all data centres, separated by commas
# MESH_SEEDS       numbers of further seed nodes, besides 0 to 3
# MESH_NODE_FLAGS  further flags of all nodes

MESH_BASE=${MESH_BASE:-21000}
MESH_DIR=${MESH_DIR:-$(mktemp -d)}
MESH_KEY=0123456789abcdef0123456789abcdef # Cluster key of the nodes.
MESH_HOST=127.0.0.1
MESH_PLATFORM=$MESH_HOST:$MESH_BASE
MESH_NODE_FLAGS=${MESH_NODE_FLAGS:-}
declare -A MESH_PIDS # Process ids by name, of the processes not yet reaped.

# mesh_port I OFFSET: a port of node I: 0 for callers, 1 for peers, 2 the admin
# port, 3 the port of the upstream beside it.
mesh_port () { echo $((MESH_BASE + 10 + 4 * $1 + $2)); }
# mesh_caller_address I, mesh_peer_address I, mesh_admin_address I: IP:PORT.
mesh_caller_address () { echo "$MESH_HOST:$(mesh_port "$1" 0)"; }
mesh_peer_address () { echo "$MESH_HOST:$(mesh_port "$1" 1)"; }
mesh_admin_address () { echo "$MESH_HOST:$(mesh_port "$1" 2)"; }
mesh_backend_port () { mesh_port "$1" 3; }

# mesh_start_process NAME COMMAND...: start COMMAND in the background, with its
# output in NAME.out and its log in NAME.log.
mesh_start_process () {
  local name=$1
  shift
  setsid "$@" >>"$MESH_DIR/$name.out" 2>>"$MESH_DIR/$name.log" &
  MESH_PIDS[$name]=$!
}

# is_own PID: whether the process descends from this shell.
is_own () {
  local pid=${1:-0} line
  while [ "$pid" -gt 1 ]; do
    [ "$pid" != $$ ] || return 0
    read -r line <"/proc/$pid/stat" || return 1
    # After the name, which may hold anything: the state, the parent.
    line=${line##*) }
    line=${line#* }
    pid=${line%% *}
  done 2>/dev/null
  return 1
}
# signal_own SIGNAL PID...: send SIGNAL to those that descend from this shell:
# the number of a process that has ended may be another's by now.
signal_own () {
  local signal=$1 pid own=()
  shift
  for pid in "$@"; do is_own "$pid" && own+=("$pid"); done
  [ ${#own[@]} = 0 ] || kill -"$signal" "${own[@]}" 2>/dev/null || true
}
# mesh_signal NAME SIGNAL: send SIGNAL to the process, if it still runs.
mesh_signal () { signal_own "$2" "${MESH_PIDS[$1]}"; }

# mesh_kill NAME: kill the process with SIGKILL and reap it.
mesh_kill () {
  mesh_signal "$1" KILL
  wait "${MESH_PIDS[$1]}" 2>/dev/null || true
  unset "MESH_PIDS[$1]"
}

# mesh_stop NAME: stop the process with SIGTERM; returns its exit code.
mesh_stop () {
  mesh_signal "$1" TERM
  mesh_wait_exit "$1"
}

# mesh_wait_exit NAME: wait until the process ends; returns its exit code.
mesh_wait_exit () {
  local code=0
  wait "${MESH_PIDS[$1]}" || code=$?
  unset "MESH_PIDS[$1]"
  return $code
}

# mesh_kill_all: kill and reap all processes, also those suspended by SIGSTOP.
mesh_kill_all () {
  local name
  for name in "${!MESH_PIDS[@]}"; do
    mesh_signal "$name" CONT
    mesh_signal "$name" KILL
  done
  for name in "${!MESH_PIDS[@]}"; do
    wait "${MESH_PIDS[$name]}" 2>/dev/null || true
  done
  MESH_PIDS=()
} 2>/dev/null # Without the lines of the shell on their ends.

# mesh_start_platform [FLAG...]: start the platform's stand-in, as process
# "platform".
mesh_start_platform () {
  mesh_start_process platform "$MESH_OUT/standin-platform" --port="$MESH_BASE" "$@"
}

# mesh_start_node I DC REGION [FLAG...]: start the node "DC-nI", as process
# "nodeI".
# Its seeds are the nodes 0 to 3 and those of MESH_SEEDS.
mesh_start_node () {
  local i=$1 dc=$2 region=$3 seeds= j
  shift 3
  for j in 0 1 2 3 ${MESH_SEEDS:-}; do
    seeds=$seeds${seeds:+,}$(mesh_peer_address "$j")
  done
  CARDAMOM_CLUSTER_KEY=$MESH_KEY mesh_start_process "node$i" "${MESH_DAEMON_OUT:-$MESH_OUT}/cardamomd" \
    --node="$dc-n$i" --dc="$dc" --region="$region" \
    --port="$(mesh_port "$i" 0)" --peer-port="$(mesh_port "$i" 1)" \
    --admin-port="$(mesh_port "$i" 2)" --seeds="$seeds" \
    --platform-address="$MESH_PLATFORM" ${MESH_DCS:+--dcs=$MESH_DCS} \
    $MESH_NODE_FLAGS "$@"
}

# mesh_start_backend I SERVICE [FLAG...]: start the backend server beside node
# I, as process "backendI".  It announces itself to the node as an upstream of
# SERVICE.
mesh_start_backend () {
  local i=$1 service=$2
  shift 2
  mesh_start_process "backend$i" "$MESH_OUT/standin-backend" \
    --port="$(mesh_backend_port "$i")" --node-admin="$(mesh_admin_address "$i")" \
    --service="$service" "$@"
}

# mesh_ctl ARGUMENT...: run cardamomctl, connected to node 0 unless
# CARDAMOM_NODES is set.
mesh_ctl () {
  CARDAMOM_NODES=${CARDAMOM_NODES:-$(mesh_admin_address 0)} \
    "$MESH_OUT/cardamomctl" --platform-address="$MESH_PLATFORM" "$@"
}

# mesh_get ADDRESS/PATH, mesh_post ADDRESS/PATH BODY: send a GET or POST request
# and print the body of the answer; fails unless the request succeeds.
mesh_get () { curl -sf --max-time 5 "http://$1"; }
mesh_post () { curl -sf --max-time 10 -X POST -d "$2" "http://$1"; }

# mesh_wait_until SECONDS COMMAND...: repeat COMMAND until it succeeds; fails
# after SECONDS.
mesh_wait_until () {
  local end=$(($(date +%s) + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$(date +%s)" -lt "$end" ] || return 1
    sleep 0.05
  done
}

# mesh_is_ready I: whether node I has joined the mesh.
mesh_is_ready () { mesh_get "$(mesh_admin_address "$1")/v1/status" | grep -q '"ready": true'; }

# mesh_has_upstreams I N: whether node I knows exactly N upstreams.
mesh_has_upstreams () {
  [ "$(mesh_get "$(mesh_admin_address "$1")/v1/nodes" | grep -c '"service": "/')" -eq "$2" ]
}

# mesh_config_version I: the version of the configuration in force on node I.
mesh_config_version () {
  mesh_get "$(mesh_admin_address "$1")/v1/status" | sed -n 's/.*"version": \([0-9]*\).*/\1/p'
}

# mesh_counter I NAME: the value of a counter of node I.
mesh_counter () {
  mesh_get "$(mesh_admin_address "$1")/counters" | sed -n "s/^$2 //p"
}
