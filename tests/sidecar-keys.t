#!/usr/bin/env bash
# Three sidecars with a stand-in of the platform's table.  Guards against: a key
# that a log line holds; one that works after it was taken
# away, or no more after a rotation that keeps it; a node that serves keyed
# requests although it cannot know of the table any more, or that ends the
# others; a configuration with bad workspaces that is not kept out with a line.
. "$(dirname "$0")/tap.sh"
dir=$(mktemp -d)
pids=()
base=25900
. "$(dirname "$0")/sidecar.sh"
cleanup () { signal_own CONT "${pids[@]}"; signal_own TERM "${pids[@]}"; wait 2>/dev/null; rm -rf "$dir"; }
trap cleanup EXIT

"$MESH_OUT/standin-rows" --port=$base &
table_pid=$!
# Another process for the servers: the table stands still in between.
"$MESH_OUT/standin-rows" --port=$((base + 1)) --servers="$(port 1 9):s1,$(port 2 9):s2,$(port 3 9):s3" &
pids+=($table_pid $!)
version=0
put_config () { # TENANTS
  version=$((version + 1))
  local config
  config=$(printf '{"version":"%08x","services":{"desk":{"healthPath":"/health"}},"routes":{
    "r":{"host":"h","prefix":"/d/","kind":"safe","timeout":"2s","service":"desk","maxAttempts":2},
    "o":{"host":"h","prefix":"/o/","kind":"safe","timeout":"2s","service":"desk","maxAttempts":2,"anonymous":true}},
    "limits":{},"tenants":%s}' $version "$1")
  curl -s -o /dev/null "http://$table/api/rows-tx" -d \
    "{\"puts\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\"value\":\"$(printf '%s' "$config" | base64 -w0)\"}]}"
}
# ask NODE PATH [KEY]: print the status.
ask () {
  curl -s -o /dev/null -w '%{http_code}' -H 'Host: h' -H 'Timeout-Remaining-Ms: 2000' -H "Attempt-Id: $BASHPID-$EPOCHREALTIME" \
    ${3:+-H "Authorization: Bearer $3"} "http://127.0.0.1:$(port $1 1)$2"
}
status_is () { [ "$(ask "${@:2}")" = "$1" ]; }
everywhere () { local n; for n in 1 2 3; do status_is "$1" $n "${@:2}" || return 1; done; }
log_has () { grep -q "$2" "$dir/n$1.log"; }
in_force () { local n; for n in 1 2 3; do log_has $n "event=config version=$1 " || return 1; done; }
all_ready () { is_ready 1 && is_ready 2 && is_ready 3; }

until_ok curl -s "http://$table/"
put_config '{"shop":{"apiKeys":["open-sesame","second-key"],"priority":1,"ratePerS":500,"burst":500},"bank":{"apiKeys":["bank-key"]}}'
for n in 1 2 3; do
  write_settings $n 1
  sed -i 's/"node":/"fail_closed": true, "revoke": "3s", "node":/' "$dir/n$n.json"
  start_node $n
done
ok "three nodes are ready" until_ok all_ready
for n in 1 2 3; do
  curl -s -o /dev/null -X PUT "http://127.0.0.1:$(port $n 3)/api/instances/i$n" -d \
    "{\"service\":\"desk\",\"address\":\"127.0.0.1:$(port $n 9)\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"sequence\":1,\"born\":1}"
done
ok "a known key is served" until_ok everywhere 200 /d/x open-sesame
ok "the other key of the workspace, too" everywhere 200 /d/x second-key
ok "an unknown one is not" everywhere 401 /d/x open-sesam
ok "nor none" everywhere 401 /d/x
ok "an anonymous route needs none" everywhere 200 /o/x

# A key is rotated: the new one first, then the old one goes.
put_config '{"shop":{"apiKeys":["open-sesame","new-key"],"ratePerS":500,"burst":500},"bank":{"apiKeys":["bank-key"]}}'
ok "a new key is in force" until_ok in_force 2
ok "beside the old one" everywhere 200 /d/x open-sesame
put_config '{"shop":{"apiKeys":["new-key"],"ratePerS":500,"burst":500},"bank":{"apiKeys":["bank-key"]}}'
until_ok in_force 3
ok "the old one is gone" everywhere 401 /d/x open-sesame
ok "the new one stays" everywhere 200 /d/x new-key

# A node stands still while a key is taken away, and is asked as it wakes.
kill -STOP "${node_pids[3]}"
put_config '{"shop":{"apiKeys":["new-key"],"ratePerS":500,"burst":500}}'
sleep 4
kill -CONT "${node_pids[3]}"
matches "a node that stood still does not serve a key that was taken away" '^(401|503)$' "$(ask 3 /d/x bank-key)"
ok "and serves the others again" until_ok status_is 200 3 /d/x new-key

# The table is gone: nobody can know whether a key was taken away.
kill -STOP $table_pid
closed () { local n; for n in 1 2 3; do log_has $n "event=keys state=closed" || return 1; done; }
ok "without the table the nodes close" until_ok closed
ok "keyed requests are refused" everywhere 503 /d/x new-key
ok "others go on" everywhere 200 /o/x
ok "the nodes are not ready" bash -c "[ \$(curl -s -o /dev/null -w '%{http_code}' http://127.0.0.1:$(port 1 2)/api/ready) = 503 ]"
kill -CONT $table_pid
ok "with the table they open" until_ok everywhere 200 /d/x new-key
ok "and are ready" until_ok all_ready

for bad in '{"shop":{"apiKeys":["k"]},"bank":{"apiKeys":["k"]}}' '{"shop":{"apiKeys":["k"],"ratePerS":-1}}' '{"shop":{"apiKeys":["k"],"burst":"many"}}'; do
  refusals=$(grep -c "event=config-refused .*tenant" "$dir/n1.log")
  put_config "$bad"
  more_refusals () { [ "$(grep -c "event=config-refused .*tenant" "$dir/n1.log")" -gt "$refusals" ]; }
  ok "kept out with a line: $bad" until_ok more_refusals
done
ok "what was in force stays" everywhere 200 /d/x new-key
put_config '{"shop":{"apiKeys":["new-key"],"ratePerS":1e300,"burst":0}}'
until_ok in_force $version
ok "a cap beyond any sum is none" everywhere 200 /d/x new-key
is "no log line holds a key" 0 "$(cat "$dir"/n*.log | grep -cE 'open-sesame|second-key|new-key|bank-key')"
done_testing
