#!/usr/bin/env bash
# The platform's table comes back from an older copy, and gives its versions out
# again.  Guards against: a configuration that is ignored because an earlier one
# had a higher revision; a node that goes back to the copy's configuration, also
# one that starts just then; an evacuation that is lost with the copy, or stays;
# one that was removed and comes back with the copy.
. "$(dirname "$0")/tap.sh"
dir=$(mktemp -d)
pids=()
base=29800
. "$(dirname "$0")/sidecar.sh"
cleanup () { signal_own TERM "${pids[@]}"; wait 2>/dev/null; rm -rf "$dir"; }
trap cleanup EXIT

# What is acknowledged has to be in force within this time.
apply_max_s=2.5

table_pid=
start_table () { # FLAG...
  "$MESH_OUT/standin-rows" --port=$base "$@" &
  table_pid=$!
  pids+=($!)
  until_ok curl -s "http://$table/"
}
declare -A region=([1]=west [2]=west [3]=east [4]=east [5]=west)
start_in_region () { # NODE FIRST_START
  write_settings "$1" "$2"
  sed -i "s/\"region\": \"r\"/\"region\": \"${region[$1]}\"/" "$dir/n$1.json"
  start_node "$1"
}
# Version V has the routes /v1/ to /vV/.
put_config () { # VERSION
  local text routes="" v
  for v in $(seq "$1"); do
    routes="$routes,\"r$v\":{\"host\":\"h\",\"prefix\":\"/v$v/\",\"kind\":\"safe\",\"timeout\":\"2s\",\"service\":\"desk\",\"maxAttempts\":2}"
  done
  text="{\"version\":\"$(printf %08x "$1")\",\"services\":{\"desk\":{\"healthPath\":\"/health\"}},\"routes\":{${routes#,}},\"limits\":{}}"
  printf '{"puts":[{"table":"op","part":"","key":"config","value":"%s"}]}' "$(printf '%s' "$text" | base64 -w0)" |
    curl -s -o /dev/null -f "http://$table/api/rows-tx" -d @-
}
# evacuate VALUE: write the evacuation of data centre "b".
evacuate () {
  curl -s -o /dev/null -f "http://$table/api/rows-tx" -d \
    "{\"puts\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"evacuate/b\",\"value\":\"$(printf '%s' "$1" | base64 -w0)\"}]}"
}
end_evacuation () {
  curl -s -o /dev/null -f "http://$table/api/rows-tx" -d \
    '{"remove":[{"table":"op","part":"","key":"evacuate/b"}]}'
}
evacuations_begun () { cat "$dir"/n*.log | grep -c "event=evacuation .*state=begun"; }
evacuated_at () { curl -s "http://127.0.0.1:$(port "$1" 5)/metrics" | grep -q "^cardamom_evacuated_data_centres $2\$"; }
# mark: remember the present state of the table; drill AWAY_MS: it is away and
# comes back as it was then.
mark () { marked=$(curl -s "http://$table/standin/version"); }
drill () { curl -s -o /dev/null "http://$table/standin/drill?to=$marked&away_ms=$1"; }
# back: wait until the table is there again.
back () { until_ok curl -s -f "http://$table/api/rows-get?table=op&part="; }
# status NODE VERSION: of a request on the route that VERSION added.
status () {
  curl -s -o /dev/null -w '%{http_code}' -H 'Host: h' -H 'Timeout-Remaining-Ms: 300' \
    -H "Attempt-Id: $BASHPID-$EPOCHREALTIME" "http://127.0.0.1:$(port "$1" 1)/v$2/x"
}
serves () { [ "$(status "$1" "$2")" != 404 ]; }
# in_force NODES VERSION: whether all NODES have VERSION in time, from now.
in_force () {
  local node end late=0
  end=$(($(date +%s%3N) + $(printf '%.0f' "${apply_max_s}e3")))
  for node in $1; do
    while ! serves "$node" "$2"; do
      [ "$(date +%s%3N)" -lt "$end" ] || { echo "n$node: 404"; late=1; break; }
      sleep 0.05
    done
  done
  [ $late = 0 ] || grep -hE "event=(store|store-call|row-old|config) " "$dir"/n*.log | tail -30
  return $late
}
# watch_for_404 VERSION: print each node that answers 404 for VERSION's route
# from now until end_watch.
watch_for_404 () {
  local version=$1
  ( while [ ! -e "$dir/watched" ]; do
      for node in 1 2 3 4; do [ "$(status $node "$version")" != 404 ] || echo "n$node"; done
      sleep 0.05
    done >"$dir/went-back" ) &
  watch_pid=$!
}
end_watch () { touch "$dir/watched"; wait "$watch_pid"; rm "$dir/watched"; }

start_table
put_config 1
mark
without_nodes=$marked
for n in 1 2 3 4; do start_in_region $n 1; done
for n in 1 2 3 4; do until_ok is_ready $n; done
put_config 2
mark
for v in 3 4 5; do put_config $v; done
ok "five configurations are in force" in_force "1 2 3 4" 5

watch_for_404 5
drill 700
sleep 0.2
start_in_region 5 0
back
sleep 1
mark
put_config 5
put_config 6
ok "after the table came back older: a new configuration is in force" in_force "1 2 3 4" 6
end_watch
is "and no node went back meanwhile" "" "$(sort "$dir/went-back" | uniq -c)"
until_ok is_ready 5
ok "nor does one that started then" serves 5 5
ok "and it has the new one" in_force 5 6

drill 300
back
drill 300
back
sleep 1
put_config 6
mark
put_config 7
ok "after two more in a row: a new configuration is in force" in_force "1 2 3 4 5" 7

for n in 1 2 3 4; do kill -KILL "${node_pids[$n]}"; wait "${node_pids[$n]}" 2>/dev/null; done
drill 100
back
for n in 1 2 3 4; do start_in_region $n 0; done
for n in 1 2 3 4; do until_ok is_ready $n; done
in_force "1 2" 7 >/dev/null
ok "nodes that start with the copy alone take what a living one holds" serves 1 7
ok "also in another region" until_ok serves 3 7

put_config 7
kill -KILL "${node_pids[1]}"
wait "${node_pids[1]}" 2>/dev/null
for i in $(seq 5); do
  drill 10
  start_in_region 1 0
  for k in $(seq 1000); do ! is_ready 1 || { echo ready; break; }; sleep 0.01; done
  for k in $(seq 20); do echo "$(status 1 7) $(status 1 8)"; done
  kill -KILL "${node_pids[1]}"
  wait "${node_pids[1]}" 2>/dev/null
done >"$dir/reader-statuses" 2>/dev/null
# No server runs there, and version 8 does not exist yet.
is "the reader, started with the copy, gets ready and serves the version in force, each time" \
  "100 no-server 404 5 ready" "$(sed 's/^50[34] /no-server /' "$dir/reader-statuses" | sort | uniq -c | xargs)"
sleep 3 # By now the others try to connect every 2 s.
marked=$without_nodes
drill 10
start_in_region 1 0
for k in $(seq 500); do status 1 7; echo; ! is_ready 1 || break; sleep 0.01; done >"$dir/alone-statuses"
for k in $(seq 20); do status 1 7; echo; done >>"$dir/alone-statuses"
is "nor does it go back where the copy names no other node" "" "$(grep -m1 404 "$dir/alone-statuses")"
is "and serves the version in force" "no-server 404" "$(status 1 7 | sed 's/^50[34]/no-server/') $(status 1 8)"
put_config 7
mark
evacuate x
ok "an evacuation is known" until_ok evacuated_at 3 1
drill 200
back
sleep 1
ok "one that the copy lacks holds until it may have been written again" evacuated_at 3 1
mark
evacuate x
sleep 2
ok "and on, if it was" evacuated_at 3 1
drill 200
back
ok "it ends if it was not" until_ok evacuated_at 3 0
ok "at all nodes" until_ok evacuated_at 2 0

evacuate x
for n in 1 2 3 4 5; do until_ok evacuated_at $n 1; done
mark
end_evacuation
ok "an evacuation is removed" until_ok evacuated_at 3 0
for n in 1 2 4 5; do until_ok evacuated_at $n 0; done
kill -KILL "${node_pids[1]}"
wait "${node_pids[1]}" 2>/dev/null
begun=$(evacuations_begun)
drill 200
start_in_region 1 0
back
sleep 1
is "the copy that has it begins it at no node, while it may be removed again" "$begun" "$(evacuations_begun)"
end_evacuation
until_ok is_ready 1
sleep 2.5
is "nor later, if it was" "$begun" "$(evacuations_begun)"
drill 200
back
sleep 1
is "nor after one more drill" "$begun" "$(evacuations_begun)"
ok "it is in force again if it was not removed" until_ok evacuated_at 3 1
ok "at all nodes" until_ok evacuated_at 1 1

kill "$table_pid"
wait "$table_pid" 2>/dev/null
start_table --no-era
put_config 8
ok "a table that comes back without an era: a new configuration is in force" in_force "1 2 3 4 5" 8
done_testing
