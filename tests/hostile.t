#!/usr/bin/env bash
# Malformed and hostile input to the ports of a running node.  Guards against
# input that is accepted, gets another answer than the expected one, or stops
# the node; and against a node that joins although its cluster key differs.
MESH_BASE=22600
. "$(dirname "$0")/tap.sh"
start_mesh "a:east:1"
create_team shop
start_backends /shop/services/desk v1 0
cat >"$MESH_DIR/desk.json" <<'J'
{"/shop/services/desk": {"version": "v1"},
 "/shop/routes/desk": {"prefix": "/desk", "service": "desk"}}
J
ok "apply" mesh_ctl apply "$MESH_DIR/desk.json"
ok "the upstream is known" wait_for_upstreams 1

# send_raw PORT BYTES: send BYTES, a printf format, and print the status code
# of the answer; nothing if the connection is closed without an answer.
send_raw () {
  local line=
  exec 3<>"/dev/tcp/$MESH_HOST/$1" || return
  printf "$2" >&3
  IFS= read -r -t 5 line <&3
  exec 3>&- 3<&-
  echo "${line%$'\r'}" | cut -d' ' -f2
}
caller_port=$(mesh_port 0 0) peer_port=$(mesh_port 0 1) admin_port=$(mesh_port 0 2)
host_header='Host: x\r\n'
is "a plain request" 200 "$(send_raw "$caller_port" "GET /desk HTTP/1.1\r\n${host_header}\r\n")"
is "length and chunks together" 400 "$(send_raw "$caller_port" "POST /desk HTTP/1.1\r\n${host_header}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")"
is "two lengths" 400 "$(send_raw "$caller_port" "POST /desk HTTP/1.1\r\n${host_header}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd")"
is "a negative length" 400 "$(send_raw "$caller_port" "POST /desk HTTP/1.1\r\n${host_header}Content-Length: -3\r\n\r\nabc")"
is "a length with a sign" 400 "$(send_raw "$caller_port" "POST /desk HTTP/1.1\r\n${host_header}Content-Length: +3\r\n\r\nabc")"
is "an unknown coding" 400 "$(send_raw "$caller_port" "POST /desk HTTP/1.1\r\n${host_header}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n")"
chunked="POST /desk HTTP/1.1\r\n${host_header}Transfer-Encoding: chunked\r\n\r\n"
is "chunks" 200 "$(send_raw "$caller_port" "${chunked}2\r\nab\r\n0\r\n\r\n")"
is "a chunk's size without a line feed" 400 "$(send_raw "$caller_port" "${chunked}2\rXab\r\n0\r\n\r\n")"
is "a chunk without a line end" 400 "$(send_raw "$caller_port" "${chunked}2\r\nabXY0\r\n\r\n")"
is "a line feed in a chunk's extension" 400 "$(send_raw "$caller_port" "${chunked}2;a\nb\r\nab\r\n0\r\n\r\n")"
is "two hosts" 400 "$(send_raw "$caller_port" "GET /desk HTTP/1.1\r\n${host_header}${host_header}\r\n")"
is "no host" 400 "$(send_raw "$caller_port" "GET /desk HTTP/1.1\r\n\r\n")"
is "a body over the bound" 413 "$(send_raw "$caller_port" "POST /desk HTTP/1.1\r\n${host_header}Content-Length: 99999999\r\n\r\n")"
is "an unknown method" 501 "$(send_raw "$caller_port" "BREW /desk HTTP/1.1\r\n${host_header}\r\n")"
is "no route" 404 "$(send_raw "$caller_port" "GET /nothing HTTP/1.1\r\n${host_header}\r\n")"
long_value=$(printf 'x%.0s' $(seq 40000))
matches "a header over the bound" "^(431|413|400|414)?$" "$(send_raw "$caller_port" "GET /desk HTTP/1.1\r\n${host_header}X-Long: $long_value\r\n\r\n")"
matches "no HTTP at all" "^(400|)$" "$(send_raw "$caller_port" '\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n')"

# peer_closes BYTES: whether the node closes a connection to its peer port that
# sends BYTES, a printf format, within 8 s.  What the node sends, such as its
# own greeting, is discarded.
peer_closes () {
  timeout 8 bash -c "exec 3<>/dev/tcp/$MESH_HOST/$peer_port; printf '$1' >&3; cat <&3 >/dev/null"
}
ok "peer: a frame over the bound" peer_closes '\x7f\xff\xff\xff'
ok "peer: an empty frame" peer_closes '\x00\x00\x00\x00'
ok "peer: no msgpack" peer_closes '\x00\x00\x00\x02\xc1\xc1'
ok "peer: a call before the greeting" peer_closes '\x00\x00\x00\x02\x91\x0a'
ok "peer: a greeting without a name" peer_closes '\x00\x00\x00\x03\x92\x01\x01'
ok "peer: silence" peer_closes ''
ok "peer: half a frame" peer_closes '\x00\x00\x00\x10\x91'

is "admin: malformed announcement" 400 "$(curl -s -o /dev/null -w '%{http_code}' -d '{"service": 1}' "http://$MESH_HOST:$admin_port/v1/announce")"
is "admin: announcement with a port of 0" 400 "$(curl -s -o /dev/null -w '%{http_code}' -d '{"service":"/a/services/b","version":"v","port":0,"slots":1}' "http://$MESH_HOST:$admin_port/v1/announce")"
is "admin: announcement with an unknown field" 400 "$(curl -s -o /dev/null -w '%{http_code}' -d '{"service":"/a/services/b","version":"v","port":1,"slots":1,"x":1}' "http://$MESH_HOST:$admin_port/v1/announce")"
is "admin: change without a token" 403 "$(curl -s -o /dev/null -w '%{http_code}' -d '{"team":"shop","operation":"o","expected":-1,"sets":[["/shop/services/x",null]]}' "http://$MESH_HOST:$admin_port/v1/changes")"
is "admin: change that is no JSON" 400 "$(curl -s -o /dev/null -w '%{http_code}' -d '{{{{' "http://$MESH_HOST:$admin_port/v1/changes")"
is "admin: a fault without --test-faults" 403 "$(curl -s -o /dev/null -w '%{http_code}' -d '{"dc":"a","cut":true}' "http://$MESH_HOST:$admin_port/v1/fault")"
is "admin: wrong method" 405 "$(curl -s -o /dev/null -w '%{http_code}' "http://$MESH_HOST:$admin_port/v1/changes")"
is "admin: no such path" 404 "$(curl -s -o /dev/null -w '%{http_code}' "http://$MESH_HOST:$admin_port/v1/secrets")"

# Idle connections to the callers' port must not keep others from being served.
for _ in $(seq 60); do
  { exec {fd}<>"/dev/tcp/$MESH_HOST/$caller_port"; fds="$fds $fd"; } 2>/dev/null
done
is "a request beside 60 idle connections" 200 "$(send_raw "$caller_port" "GET /desk HTTP/1.1\r\n${host_header}\r\n")"
for fd in $fds; do exec {fd}>&-; done
is "the node still serves" 200 "$(send_raw "$caller_port" "GET /desk HTTP/1.1\r\n${host_header}\r\n")"

# A node with another cluster key must not join; a node with both keys must.
# Node 1, which has the other key, also gets a platform address on which nothing
# listens.
CARDAMOM_CLUSTER_KEY_OLD= MESH_KEY=ffffffffffffffffffffffffffffffffffff MESH_PLATFORM=127.0.0.1:1 mesh_start_node 1 a east
sleep 2 # Time in which node 1 could join.
is "a node with another key is no member" 1 "$(mesh_get "$(mesh_admin_address 0)/v1/nodes" | grep -c '"node"')"
ok "denied connections are counted" test "$(mesh_counter 0 cardamom_peers_denied_total)" -gt 0
mesh_kill node1
old_key=$MESH_KEY # The key of node 0.
MESH_KEY=ffffffffffffffffffffffffffffffffffff mesh_start_node 2 a east --cluster-key-old="$old_key"
ok "a node with both keys is a member" mesh_wait_until 20 mesh_is_ready 2
is "no secret is logged" 0 "$(cat "$MESH_DIR"/*.log | grep -c -e "$old_key" -e "$CARDAMOM_TOKEN")"
done_testing
