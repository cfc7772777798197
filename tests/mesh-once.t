#!/usr/bin/env bash
# Requests with an Idempotency-Key.  Guards against a second run of a request
# that is sent again: immediately, while the first one is in flight, through
# other nodes and data centres, and after nodes that hold replicas of its
# record have died.
MESH_BASE=22200 MESH_DCS=a,b
. "$(dirname "$0")/tap.sh"
start_mesh "a:east:4 b:west:4"
create_team shop
start_backends /shop/services/desk v1 0 1 2 3 4 5 6 7
cat >"$MESH_DIR/desk.json" <<'J'
{"/shop/services/desk": {"version": "v1", "timeout_ms": 3000, "max_attempts": 3},
 "/shop/routes/desk": {"prefix": "/desk", "service": "desk"}}
J
ok "apply" mesh_ctl apply "$MESH_DIR/desk.json"
ok "upstreams are known" wait_for_upstreams 8

# list_runs: a line "ID COUNT" for each request id that ran, where COUNT is its
# number of runs on all backend servers.
list_runs () {
  local i
  for i in 0 1 2 3 4 5 6 7; do
    mesh_get "$MESH_HOST:$(mesh_backend_port $i)/standin/stats" |
      sed 's/.*"ids":{\([^}]*\)}.*/\1/' | tr ',' '\n' | grep -F '":' | tr -d '"'
  done | awk '{ at = match ($0, /:[0-9]+$/); runs[substr ($0, 1, at - 1)] += substr ($0, at + 1) }
    END { for (id in runs) print id, runs[id] }'
}
# count_repeated_runs: the number of request ids that ran more than once.
count_repeated_runs () { list_runs | awk '$2 > 1' | wc -l; }

run_load first --targets="$(caller_addresses)" --path=/desk/1 --method=POST --keyed=1 \
  --rate=100 --seconds=3 --threads=16 --resend-permille=500
is "every call was done" 0 $(($(report_field "$MESH_DIR/first.json" unknown) + $(report_field "$MESH_DIR/first.json" not_run) + $(report_field "$MESH_DIR/first.json" broken)))
is "resent requests got the first answer" "$(report_field "$MESH_DIR/first.json" resent)" "$(report_field "$MESH_DIR/first.json" replayed)"
is "none ran twice" 0 "$(count_repeated_runs)"
is "the answers are the requests' own" 0 "$(report_field "$MESH_DIR/first.json" wrong)"

# send_keyed NODE KEY BODY: the status code and outcome of the answer, and
# whether it was replayed.
send_keyed () {
  curl -s --max-time 10 -X POST -H "Idempotency-Key: $2" -H "X-Request-Id: $2" \
    -d "$3" -o /dev/null -w '%{http_code} %header{cardamom-outcome} %header{cardamom-replayed}' \
    "http://$(mesh_caller_address "$1")/desk/1"
}
is "a key" "200 done " "$(send_keyed 0 k1 x)"
is "the same through the other data centre" "200 done true" "$(send_keyed 5 k1 x)"
is "another request under the key" "422 not-run " "$(send_keyed 2 k1 other)"
# A key "dc:NAME:REST" has its record in the data centre NAME.
is "a key with a home" "200 done " "$(send_keyed 0 dc:b:k2 x)"
is "the same again" "200 done true" "$(send_keyed 1 dc:b:k2 x)"
is "a key with a home that does not exist" "503 unknown " "$(send_keyed 0 dc:nowhere:k3 x)"

for i in 0 1 2 3 4 5 6 7; do
  mesh_post "$MESH_HOST:$(mesh_backend_port $i)/standin/control" '{"latency_ms": 600}' >/dev/null
done
send_keyed 0 k4 x >"$MESH_DIR/k4a" &
first_pid=$!
sleep 0.2 # The first request, which takes 600 ms, still runs.
second_answer=$(send_keyed 6 k4 x)
wait $first_pid
is "the first of two at a time" "200 done " "$(cat "$MESH_DIR/k4a")"
is "the second of two at a time" "200 done true" "$second_answer"
for i in 0 1 2 3 4 5 6 7; do
  mesh_post "$MESH_HOST:$(mesh_backend_port $i)/standin/control" '{"latency_ms": 1}' >/dev/null
done

# Nodes are killed one after another under load.  Half of the requests are sent
# again, whether they were done or not.
load_rate=60 load_seconds=14
run_load killed --targets="$(mesh_caller_address 0),$(mesh_caller_address 1),$(mesh_caller_address 4),$(mesh_caller_address 5)" \
  --path=/desk/1 --method=POST --keyed=1 --rate=$load_rate --seconds=$load_seconds --threads=24 \
  --resend-permille=500 &
load_pid=$!
# Under load, node 2 is killed after 2 s and restarted 5 s later; node 6 is killed
# another 3 s later.
sleep 2
mesh_kill node2
sleep 5
mesh_start_node 2 a east
sleep 3
mesh_kill node6
wait $load_pid
is "none ran twice while nodes died" 0 "$(count_repeated_runs)"
done_count=$(report_field "$MESH_DIR/killed.json" "done")
sent=$((load_rate * load_seconds + $(report_field "$MESH_DIR/killed.json" resent)))
ok "nine of ten calls were done ($done_count of $sent)" test $((done_count * 10)) -gt $((sent * 9))

# Two nodes of a data centre die at the same time: requests whose records had
# replicas on both must not run again.
for n in $(seq 1 40); do send_keyed 0 "dc:a:pair$n" x >/dev/null; done
mesh_kill node1
mesh_kill node3
sleep 6 # Both are down for 6 s.
mesh_start_node 1 a east
mesh_start_node 3 a east
mesh_wait_until 30 mesh_is_ready 1
mesh_wait_until 30 mesh_is_ready 3
sleep 2 # The keys are sent again 2 s after both have joined.
answers=$(for n in $(seq 1 40); do send_keyed 0 "dc:a:pair$n" x; echo; done | sort | uniq -c | sed 's/^ *//')
is "none ran twice after two keepers died" 0 "$(count_repeated_runs)"
echo "# answers after two replicas died: $answers" | tr '\n' ';'; echo
matches "records with one keeper left are replayed" "200 done true" "$answers"
# The pattern matches only if "not-run" does not occur: grep then prints nothing,
# else lines with an "n".
matches "no key is said not to have run" "^[^n]*$" "$(grep -o 'not-run' <<<"$answers" || true)"
done_testing
