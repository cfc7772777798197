#!/usr/bin/env bash
# Three sidecars with a stand-in of the platform's table.  Guards against: a
# configuration that is not applied, a version move that does not complete or is
# lost when all nodes restart, requests to a draining server, a stop that does
# not end in order, and invalid settings that go unreported.
. "$(dirname "$0")/tap.sh"
dir=$(mktemp -d)
MESH_DIR=$dir
pids=()
base=23400
. "$(dirname "$0")/sidecar.sh"
cleanup () { signal_own TERM "${pids[@]}"; wait 2>/dev/null; rm -rf "$dir"; }
trap cleanup EXIT

servers=""
for n in 1 2 3; do servers="$servers,$(port $n 9):s$n"; done
"$MESH_OUT/standin-rows" --port=$base --servers="${servers#,}" &
pids+=($!)

put_row () { # TABLE KEY JSON
  local value
  value=$(printf '%s' "$3" | base64 -w0)
  curl -s -o /dev/null "http://$table/api/rows-tx" -d \
    "{\"puts\":[{\"table\":\"$1\",\"part\":\"\",\"key\":\"$2\",\"value\":\"$value\"}]}"
}
get_row () { # TABLE KEY
  curl -s "http://$table/api/rows-get?table=$1&part=" |
    grep -o "\"key\": *\"$2\"[^}]*\"value\": *\"[^\"]*\"" |
    sed 's/.*"value": *"\([^"]*\)"/\1/' | base64 -d
}
send_report () { # NODE STATE VERSION SEQUENCE
  curl -s -o /dev/null -w '%{http_code}' -X PUT \
    "http://127.0.0.1:$(port $1 3)/api/instances/i$1" -d \
    "{\"service\":\"desk\",\"address\":\"127.0.0.1:$(port $1 9)\",\"zone\":\"a\",
      \"version\":\"$3\",\"slots\":4,\"state\":\"$2\",\"sequence\":$4,\"born\":$1}"
}
send_request () { # NODE PATH
  curl -s -w ' %{http_code}' -H 'Host: h' -H 'Timeout-Remaining-Ms: 2000' \
    -H "Attempt-Id: $BASHPID-$EPOCHREALTIME" "http://127.0.0.1:$(port $1 1)$2"
}
put_config () { # VERSION TIMEOUT
  put_row op config "{\"version\":\"$1\",\"services\":{\"desk\":{\"healthPath\":\"/health\"}},\"routes\":{\"r\":
    {\"host\":\"h\",\"prefix\":\"/d/\",\"kind\":\"safe\",\"timeout\":\"$2\",
     \"service\":\"desk\",\"maxAttempts\":2}},\"limits\":{}}"
}
# answer_matches NODE PATH PATTERN: whether the answer, "BODY STATUS", matches.
answer_matches () { send_request "$1" "$2" | grep -q "$3"; }
# requests_go_to SERVER: SERVER answers each of 20 requests to node 1.
requests_go_to () {
  local i
  for i in $(seq 20); do answer_matches 1 /d/x "^$1 200$" || return 1; done
}
# log_has NODE PATTERN: whether a line of the node's log matches.
log_has () { grep -q "$2" "$dir/n$1.log"; }

for n in 1 2 3; do write_settings $n 1; done
until_ok curl -s "http://$table/"
for n in 1 2; do start_node $n; done
until_ok curl -s "http://127.0.0.1:$(port 1 3)/"
is "without a configuration a node is not ready" 1 "$(is_ready 1; echo $?)"
is "and asks callers to come back" " 503" "$(send_request 1 /d/x)"
put_config 00000001 1s
ok "a configuration makes it ready" until_ok is_ready 1
is "a report is acknowledged" 200 "$(send_report 1 ready v1 1)"
is "one that cannot be read is not" 400 "$(send_report 1 asleep v1 2)"
ok "requests reach the server" until_ok answer_matches 2 /d/x "^s1 200$"
is "a path without a route" " 404" "$(send_request 2 /nowhere)"

start_node 3
ok "a third node joins" until_ok is_ready 3
send_report 3 ready v2 1 >/dev/null
ok "and is known" until_ok log_has 1 "member=n3 service=desk version=v2 state=ready"
ok "a version that nobody ordered gets nothing" requests_go_to s1
put_row op rollout/desk '{"service":"desk","to":"v2","over":"6s"}'
move_status_is () { get_row status rollout/desk | grep -q "\"state\":\"$1\""; }
ok "operators are told that the move runs" until_ok move_status_is running
# send_batch: 16 requests from one process, to nodes 1 and 2 in turn.  With one
# process for each request, a busy machine sends too few of them to judge a
# version by.
send_batch () {
  local i
  for i in $(seq 16); do
    printf 'url = "http://127.0.0.1:%s/d/x"\noutput = "/dev/null"\n' \
      "$(port $((i % 2 + 1)) 1)"
    printf 'header = "Host: h"\nheader = "Timeout-Remaining-Ms: 2000"\n'
    printf 'header = "Attempt-Id: %s"\nnext\n' "$BASHPID-$EPOCHREALTIME-$i"
  done | sed '$d' | curl -s -K -
}
( while :; do send_batch; sleep 0.05; done ) &
load_pid=$!
pids+=($load_pid)
ok "and that it is done" until_ok move_status_is completed
move_status_is completed || { get_row status rollout/desk; echo; grep -h "event=move " "$dir"/n*.log | sort; } | sed 's/^/# /'
kill $load_pid
ok "the new version has the requests" requests_go_to s3
is "the move's row is there" 1 "$(curl -s "http://$table/api/rows-get?table=mesh&part=" | grep -c '"move/desk"')"

for n in 1 2 3; do kill -KILL "${node_pids[$n]}"; wait "${node_pids[$n]}" 2>/dev/null; write_settings $n 0; done
for n in 1 2 3; do start_node $n; done
ok "after the end of all nodes it still has them" until_ok requests_go_to s3
ok "the node went on with its server by itself" log_has 3 "state=resumed instance=i3"
ok "and no move was begun anew" bash -c "! grep -h 'event=move' $dir/n*.log | grep -q 'epoch=2'"

put_config 00000003 900ms
ok "a later configuration is in force" until_ok log_has 2 "event=config version=3"
put_config 00000002 800ms
put_row op config '{"version":"00000009","rou'
sleep 1
is "an earlier or torn one is kept out" " 404" "$(send_request 2 /nowhere)"
ok "and told" log_has 2 "event=config-refused"

# raw_row TABLE KEY: the row as the table holds it.
raw_row () { curl -s "http://$table/api/rows-get?table=$1&part=" | grep -o "\"key\": *\"$2\"[^}]*"; }
row_changes () { [ "$(raw_row "$1" "$2")" != "$3" ]; }
row_before=$(raw_row mesh node/n3)
send_report 3 draining v2 9 >/dev/null
until_ok log_has 1 "member=n3 service=desk version=v2 state=draining"
runs_before=$(curl -s "http://127.0.0.1:$(port 3 9)/count")
for i in $(seq 10); do send_request 1 /d/x >/dev/null; done
is "a leaving server gets nothing more" "$runs_before" "$(curl -s "http://127.0.0.1:$(port 3 9)/count")"

until_ok row_changes mesh node/n3 "$row_before"
starts=$(grep -c event=start "$dir/n3.log")
kill -KILL "${node_pids[3]}"
wait "${node_pids[3]}" 2>/dev/null
start_node 3
restarted () { [ "$(grep -c event=start "$dir/n3.log")" -gt "$starts" ] && is_ready 3; }
until_ok restarted
for i in $(seq 10); do
  send_request 1 /d/x >/dev/null
  send_request 3 /d/x >/dev/null
done
is "nor after a restart of its node" "$runs_before" "$(curl -s "http://127.0.0.1:$(port 3 9)/count")"

echo '{"node": "n1"' >"$dir/n1.json"
kill -HUP "${node_pids[1]}"
ok "a torn settings file changes nothing" until_ok log_has 1 "event=settings state=kept"
ok "and the node serves on" is_ready 1
kill -TERM "${node_pids[2]}"
wait "${node_pids[2]}"
is "a node stops in order" 0 $?
ok "and says so" log_has 2 "event=stop step=ended"
ok "its settings are checked by the program" "$MESH_OUT/cardamom-sidecar" --check --settings="$dir/n2.json"
missing_lines=0
while IFS= read -r line; do
  grep -qF -- "$line" "$(dirname "$0")/../docs/SIDECAR.md" || missing_lines=$((missing_lines + 1))
done < <("$MESH_OUT/cardamom-sidecar" --reference)
is "no setting and no event is missing from its page" 0 $missing_lines
cat >"$dir/a.log" <<'L'
time=2026-12-04T06:00:01.000Z node=n1 event=config version=7 routes=3 services=1
time=2026-12-04T06:00:03.500Z node=n1 event=failed id=ab12 route=r service=desk status=502 why="stream lost" node=n2 arrivals=1 held_ms=12.0
time=2026-12-04T06:00:03.400Z node=n1 event=repeated id=ab12 route=r why=stream node=n3 arrivals=1
time=2026-12-04T06:00:03.600Z node=n1 event=failed id=ab123 route=r
L
cat >"$dir/b.log" <<'L'
time=2026-12-04T06:00:02.000Z node=n2 event=server state=ready instance=i2 service=desk
time=2026-12-04T06:00:03.300Z node=n2 event=server state=lost instance=i2 why="connection refused"
time=2026-12-04T06:00:09.000Z node=n2 event=server state=ready instance=i9 service=desk
L
is "a request is explained from the logs of several nodes" \
'2026-12-04T06:00:03.400Z n1 repeated id=ab12 route=r why=stream node=n3 arrivals=1
what n1 believed then:
  2026-12-04T06:00:01.000Z n1 config version=7 routes=3 services=1
what n3 believed then:
2026-12-04T06:00:03.500Z n1 failed id=ab12 route=r service=desk status=502 why="stream lost" node=n2 arrivals=1 held_ms=12.0
what n2 believed then:
  2026-12-04T06:00:03.300Z n2 server state=lost instance=i2 why="connection refused"' \
  "$("$MESH_OUT/cardamomctl" explain ab12 "$dir/a.log" "$dir/b.log")"
is "one that no log names is told so" 1 "$("$MESH_OUT/cardamomctl" explain zz "$dir/a.log" >/dev/null; echo $?)"
is "bad ones are named" 2 "$("$MESH_OUT/cardamom-sidecar" --check --settings="$dir/n1.json" >/dev/null 2>&1; echo $?)"
done_testing
