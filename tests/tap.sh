# Test functions that print TAP, and functions that set up a mesh for a test.
# Sourced by tests/*.t and measure/common.sh.
tests_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
MESH_OUT=${MESH_OUT:-$tests_dir/../build/release}
. "$tests_dir/mesh.sh"
trap mesh_kill_all EXIT
tap_count=0

# ok NAME COMMAND...: a test that passes if COMMAND succeeds; if it fails, its
# output is printed.
ok () {
  local name=$1 output
  shift
  tap_count=$((tap_count + 1))
  if output=$("$@" 2>&1); then
    echo "ok $tap_count - $name"
  else
    echo "not ok $tap_count - $name"
    echo "$output" | sed 's/^/# /'
    echo "# logs: $MESH_DIR"
  fi
}

# is NAME EXPECTED ACTUAL: a test that passes if the texts are equal.
is () {
  tap_count=$((tap_count + 1))
  if [ "$2" = "$3" ]; then
    echo "ok $tap_count - $1"
  else
    echo "not ok $tap_count - $1"
    printf 'expected: %s\nactual:   %s\n' "$2" "$3" | sed 's/^/# /'
  fi
}

# matches NAME PATTERN TEXT: a test that passes if a line of TEXT matches
# PATTERN, an extended regular expression.
matches () {
  tap_count=$((tap_count + 1))
  if grep -qE -- "$2" <<<"$3"; then
    echo "ok $tap_count - $1"
  else
    echo "not ok $tap_count - $1"
    printf 'pattern: %s\ntext: %s\n' "$2" "$3" | sed 's/^/# /'
  fi
}

# done_testing: print the plan; call it after the last test.
done_testing () { echo "1..$tap_count"; }

# report_field FILE NAME: the number NAME in FILE, a report of run_load.
report_field () { sed -n "s/.*\"$2\":\([-0-9.]*\).*/\1/p" "$1"; }

# start_mesh "DC:REGION:COUNT ...": start the platform and COUNT nodes in each
# data centre, wait until they have joined, and set MESH_COUNT to their number.
start_mesh () {
  local group dc region count i=0 rest
  mesh_start_platform
  for group in $1; do
    dc=${group%%:*} rest=${group#*:}
    region=${rest%%:*} count=${rest#*:}
    for _ in $(seq "$count"); do
      mesh_start_node $i "$dc" "$region"
      i=$((i + 1))
    done
  done
  MESH_COUNT=$i
  for i in $(seq 0 $((MESH_COUNT - 1))); do mesh_wait_until 30 mesh_is_ready "$i"; done
}

# caller_addresses: IP:PORT of the callers' ports of all nodes, separated by
# commas.
caller_addresses () {
  local i list=
  for i in $(seq 0 $((MESH_COUNT - 1))); do
    list=$list${list:+,}$(mesh_caller_address "$i")
  done
  echo "$list"
}

# create_team NAME: create a team, which mesh_ctl uses from then on.
create_team () {
  CARDAMOM_TOKEN=$(mesh_ctl team add "$1")
  export CARDAMOM_TEAM=$1 CARDAMOM_TOKEN
}

# start_backends SERVICE VERSION NODE...: start an upstream of SERVICE, of this
# version, beside each of these nodes.
start_backends () {
  local service=$1 version=$2 i
  shift 2
  for i in "$@"; do mesh_start_backend "$i" "$service" --release="$version"; done
}

# wait_for_upstreams N: wait until every node knows exactly N upstreams.
wait_for_upstreams () {
  local i
  for i in $(seq 0 $((MESH_COUNT - 1))); do
    mesh_wait_until 30 mesh_has_upstreams "$i" "$1" || return 1
  done
}

# run_load NAME FLAG...: send requests with the load tool; the report is in
# $MESH_DIR/NAME.json.
run_load () {
  local name=$1
  shift
  "$MESH_OUT/standin-load" --id-prefix="$name" "$@" >"$MESH_DIR/$name.json"
}
