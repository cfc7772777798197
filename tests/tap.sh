# A little TAP for scripted runs.  Sourced by tests/*.t.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
MESH_OUT=${MESH_OUT:-$here/../build/release}
. "$here/mesh.sh"
trap mesh_end EXIT
tap_count=0

# ok NAME COMMAND...: one test; its output is shown when it fails.
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

# is NAME EXPECTED ACTUAL
is () {
  tap_count=$((tap_count + 1))
  if [ "$2" = "$3" ]; then
    echo "ok $tap_count - $1"
  else
    echo "not ok $tap_count - $1"
    printf 'expected: %s\nactual:   %s\n' "$2" "$3" | sed 's/^/# /'
  fi
}

# matches NAME PATTERN TEXT: an extended regular expression on the whole text.
matches () {
  tap_count=$((tap_count + 1))
  if grep -qE -- "$2" <<<"$3"; then
    echo "ok $tap_count - $1"
  else
    echo "not ok $tap_count - $1"
    printf 'pattern: %s\ntext: %s\n' "$2" "$3" | sed 's/^/# /'
  fi
}

done_testing () { echo "1..$tap_count"; }

# field FILE NAME: a number of the load tool's report.
field () { sed -n "s/.*\"$2\":\([-0-9.]*\).*/\1/p" "$1"; }

# start_mesh "DC:REGION:COUNT ..." : platform and nodes, joined.
start_mesh () {
  local place dc region count i=0 rest
  mesh_platform
  for place in $1; do
    dc=${place%%:*} rest=${place#*:}
    region=${rest%%:*} count=${rest#*:}
    for _ in $(seq "$count"); do
      mesh_node $i "$dc" "$region"
      i=$((i + 1))
    done
  done
  MESH_COUNT=$i
  for i in $(seq 0 $((MESH_COUNT - 1))); do mesh_until 30 mesh_ready "$i"; done
}

# all_targets: the callers' ports of all nodes.
all_targets () {
  local i list=
  for i in $(seq 0 $((MESH_COUNT - 1))); do
    list=$list${list:+,}$(mesh_caller "$i")
  done
  echo "$list"
}

# new_team NAME: a team with its token in the environment.
new_team () {
  CARDAMOM_TOKEN=$(mesh_ctl team add "$1")
  export CARDAMOM_TEAM=$1 CARDAMOM_TOKEN
}

# backends SERVICE VERSION NODE...: upstreams beside these nodes, known to all.
backends () {
  local service=$1 version=$2 i
  shift 2
  for i in "$@"; do mesh_backend "$i" "$service" --release="$version"; done
}

see_upstreams () {
  local i
  for i in $(seq 0 $((MESH_COUNT - 1))); do
    mesh_until 30 mesh_sees "$i" "$1" || return 1
  done
}

# load NAME FLAG...: run the load tool into $MESH_DIR/NAME.json.
load () {
  local name=$1
  shift
  "$MESH_OUT/standin-load" --id-prefix="$name" "$@" >"$MESH_DIR/$name.json"
}
