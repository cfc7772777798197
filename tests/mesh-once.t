#!/usr/bin/env bash
# Requests with an Idempotency-Key run at most once: sent again at once, while
# the first is in flight, through other nodes and data centres, and after the
# nodes that kept the record died.
MESH_BASE=22200 MESH_DCS=a,b
. "$(dirname "$0")/tap.sh"
start_mesh "a:east:4 b:west:4"
new_team shop
backends /shop/services/desk v1 0 1 2 3 4 5 6 7
cat >"$MESH_DIR/desk.json" <<'J'
{"/shop/services/desk": {"version": "v1", "timeout_ms": 3000, "max_attempts": 3},
 "/shop/routes/desk": {"prefix": "/desk", "service": "desk"}}
J
ok "apply" mesh_ctl apply "$MESH_DIR/desk.json"
ok "upstreams are known" see_upstreams 8

# runs_of: every request id that ran, with how often, over all backend servers.
all_runs () {
  local i
  for i in 0 1 2 3 4 5 6 7; do
    mesh_get "$MESH_HOST:$(mesh_backend_port $i)/standin/stats" |
      sed 's/.*"ids":{\([^}]*\)}.*/\1/' | tr ',' '\n' | grep -F '":' | tr -d '"'
  done | awk '{ at = match ($0, /:[0-9]+$/); n[substr ($0, 1, at - 1)] += substr ($0, at + 1) }
    END { for (id in n) print id, n[id] }'
}
doubles () { all_runs | awk '$2 > 1' | wc -l; }

load first --targets="$(all_targets)" --path=/desk/1 --method=POST --keyed=1 \
  --rate=100 --seconds=3 --threads=16 --resend-permille=500
is "every call was done" 0 $(($(field "$MESH_DIR/first.json" unknown) + $(field "$MESH_DIR/first.json" not_run) + $(field "$MESH_DIR/first.json" broken)))
is "resent requests got the first answer" "$(field "$MESH_DIR/first.json" resent)" "$(field "$MESH_DIR/first.json" replayed)"
is "none ran twice" 0 "$(doubles)"
is "the answers are the requests' own" 0 "$(field "$MESH_DIR/first.json" wrong)"

post () { # NODE KEY BODY
  curl -s --max-time 10 -X POST -H "Idempotency-Key: $2" -H "X-Request-Id: $2" \
    -d "$3" -o /dev/null -w '%{http_code} %header{cardamom-outcome} %header{cardamom-replayed}' \
    "http://$(mesh_caller "$1")/desk/1"
}
is "a key" "200 done " "$(post 0 k1 x)"
is "the same through the other data centre" "200 done true" "$(post 5 k1 x)"
is "another request under the key" "422 not-run " "$(post 2 k1 other)"
is "a key with a home" "200 done " "$(post 0 dc:b:k2 x)"
is "the same again" "200 done true" "$(post 1 dc:b:k2 x)"
is "a key with a home that does not exist" "503 unknown " "$(post 0 dc:nowhere:k3 x)"

for i in 0 1 2 3 4 5 6 7; do
  mesh_post "$MESH_HOST:$(mesh_backend_port $i)/standin/control" '{"latency_ms": 600}' >/dev/null
done
post 0 k4 x >"$MESH_DIR/k4a" &
slow=$!
sleep 0.2
second=$(post 6 k4 x)
wait $slow
is "the first of two at a time" "200 done " "$(cat "$MESH_DIR/k4a")"
is "the second of two at a time" "200 done true" "$second"
for i in 0 1 2 3 4 5 6 7; do
  mesh_post "$MESH_HOST:$(mesh_backend_port $i)/standin/control" '{"latency_ms": 1}' >/dev/null
done

# Kill nodes one after another under load; the callers send again what did not
# end, and half of what did.
load killed --targets="$(mesh_caller 0),$(mesh_caller 1),$(mesh_caller 4),$(mesh_caller 5)" \
  --path=/desk/1 --method=POST --keyed=1 --rate=60 --seconds=14 --threads=24 \
  --resend-permille=500 &
loader=$!
sleep 2
mesh_kill node2
sleep 5
mesh_node 2 a east
sleep 3
mesh_kill node6
wait $loader
is "none ran twice while nodes died" 0 "$(doubles)"
done_count=$(field "$MESH_DIR/killed.json" "done")
sent=$((840 + $(field "$MESH_DIR/killed.json" resent)))
ok "nine of ten calls were done ($done_count of $sent)" test $((done_count * 10)) -gt $((sent * 9))

# Two nodes of a data centre die at once: what both kept must not run again.
for n in $(seq 1 40); do post 0 "dc:a:pair$n" x >/dev/null; done
mesh_kill node1
mesh_kill node3
sleep 6
mesh_node 1 a east
mesh_node 3 a east
mesh_until 30 mesh_ready 1
mesh_until 30 mesh_ready 3
sleep 2
answers=$(for n in $(seq 1 40); do post 0 "dc:a:pair$n" x; echo; done | sort | uniq -c | sed 's/^ *//')
is "none ran twice after two keepers died" 0 "$(doubles)"
echo "# after two keepers died: $answers" | tr '\n' ';'; echo
matches "records with one keeper left are replayed" "200 done true" "$answers"
matches "no key is said not to have run" "^[^n]*$" "$(grep -o 'not-run' <<<"$answers" || true)"
done_testing
