#!/usr/bin/env bash
# A storm of configurations, each of them large, at nodes behind a thin link to
# the table.  Guards against: a region that falls ever further behind, for its
# reader asks for all versions since the last one and gives up midway; one that
# waits for its own link although another region has the versions already; a read
# that is given up while its answer arrives.
. "$(dirname "$0")/tap.sh"
dir=$(mktemp -d)
pids=()
base=29400
. "$(dirname "$0")/sidecar.sh"
cleanup () { signal_own TERM "${pids[@]}"; wait 2>/dev/null; rm -rf "$dir"; }
trap cleanup EXIT

# What is acknowledged has to be in force within this many milliseconds.
apply_max_ms=3000
# A version has some 200 KB on the wire.
routes=1400
versions=24

"$MESH_OUT/standin-rows" --port=$base &
pids+=($!)
# set_link BYTES_PER_S: have the link to the table carry so much; open
# connections break.
link_pid=
set_link () {
  [ -z "$link_pid" ] || { kill "$link_pid"; wait "$link_pid" 2>/dev/null; }
  "$MESH_OUT/standin-link" $((base + 1)) $base "$1" &
  link_pid=$!
  pids+=($!)
}
more_routes=$(for i in $(seq $routes); do
  printf ',"idle-%d":{"host":"h%d","prefix":"/i/","kind":"safe","timeout":"2s","service":"desk","maxAttempts":2}' "$i" "$i"
done)
put_config () { # VERSION
  local text="{\"version\":\"$(printf %08x "$1")\",\"services\":{\"desk\":{\"healthPath\":\"/health\"}},\"routes\":{
    \"r\":{\"host\":\"h\",\"prefix\":\"/v$1/\",\"kind\":\"safe\",\"timeout\":\"2s\",\"service\":\"desk\",\"maxAttempts\":2}$more_routes},\"limits\":{}}"
  printf '{"puts":[{"table":"op","part":"","key":"config","value":"%s"}]}' "$(printf '%s' "$text" | base64 -w0)" |
    curl -s -o /dev/null "http://$table/api/rows-tx" -d @-
  # When it was acknowledged, in milliseconds.
  acked[$1]=$(date +%s%3N)
}
declare -A acked
log_has () { grep -q "$2" "$dir/n$1.log"; }
# is_late NODE: print each version that was not in force in time at NODE, and
# what the node logs of its calls of the table; fails if there is none.
is_late () {
  local log="$dir/n$1.log" version due late=1
  for version in "${!acked[@]}"; do
    due=$(date -u -d "@$(printf '%d.%03d' $(((acked[$version] + apply_max_ms) / 1000)) $(((acked[$version] + apply_max_ms) % 1000)))" +%Y-%m-%dT%H:%M:%S.%3NZ)
    awk -v version="$version" -v due="$due" '
      / event=config version=/ { split ($1, t, "="); split ($4, v, "=")
                                 if (t[2] <= due && v[2] + 0 >= version + 0) found = 1 }
      END { exit !found }' "$log" || { echo "version $version: not in force in time"; late=0; }
  done
  [ $late = 1 ] || grep -E "event=(store|store-call) " "$log" | tail -20
  return $late
}
in_time () { ! is_late "$1"; }
storm () { # FIRST LAST
  local version
  for version in $(seq "$1" "$2"); do put_config "$version"; sleep 0.1; done
  sleep $((apply_max_ms / 1000 + 1))
}
start_in_region () { # NODE REGION TABLE
  write_settings "$1" 1
  sed -i "s/\"region\": \"r\"/\"region\": \"$2\"/; s/\"table\": \"[^\"]*\"/\"table\": \"$3\"/" "$dir/n$1.json"
  start_node "$1"
}

until_ok curl -s "http://$table/"
put_config 1
# A read takes 2 s, longer than the table may take to begin with its answer.
set_link 100000
start_in_region 1 east "127.0.0.1:$((base + 1))"
ok "a read goes on while its answer arrives" until_ok is_ready 1
set_link 250000
unset 'acked[1]'
storm 2 $versions
ok "each version is in force in time behind a thin link" in_time 1

start_in_region 2 west "$table"
start_in_region 3 east "127.0.0.1:$((base + 1))"
until_ok is_ready 2
until_ok is_ready 3
until_ok log_has 3 "event=peer peer=n2 state=connected"
# A read of all rows takes longer than they may.
set_link 40000
acked=()
storm $((versions + 1)) $((2 * versions))
ok "also where another region has it before: at the reader" in_time 1
ok "and at a node that follows it" in_time 3
done_testing
