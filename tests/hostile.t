#!/usr/bin/env bash
# Hostile input to the ports of a running node.  Each row: what is sent, what
# comes back.  The node must live on.
MESH_BASE=22600
. "$(dirname "$0")/tap.sh"
start_mesh "a:east:1"
new_team shop
backends /shop/services/desk v1 0
cat >"$MESH_DIR/desk.json" <<'J'
{"/shop/services/desk": {"version": "v1"},
 "/shop/routes/desk": {"prefix": "/desk", "service": "desk"}}
J
ok "apply" mesh_ctl apply "$MESH_DIR/desk.json"
ok "the upstream is known" see_upstreams 1

# raw PORT BYTES: the first line of the answer to BYTES (printf format).
raw () {
  local line=
  exec 3<>"/dev/tcp/$MESH_HOST/$1" || return
  printf "$2" >&3
  IFS= read -r -t 5 line <&3
  exec 3>&- 3<&-
  echo "${line%$'\r'}" | cut -d' ' -f2
}
front=$(mesh_port 0 0) peer=$(mesh_port 0 1) admin=$(mesh_port 0 2)
H='Host: x\r\n'
is "a plain request" 200 "$(raw "$front" "GET /desk HTTP/1.1\r\n$H\r\n")"
is "length and chunks together" 400 "$(raw "$front" "POST /desk HTTP/1.1\r\n${H}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")"
is "two lengths" 400 "$(raw "$front" "POST /desk HTTP/1.1\r\n${H}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd")"
is "a negative length" 400 "$(raw "$front" "POST /desk HTTP/1.1\r\n${H}Content-Length: -3\r\n\r\nabc")"
is "a length with a sign" 400 "$(raw "$front" "POST /desk HTTP/1.1\r\n${H}Content-Length: +3\r\n\r\nabc")"
is "an unknown coding" 400 "$(raw "$front" "POST /desk HTTP/1.1\r\n${H}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n")"
is "two hosts" 400 "$(raw "$front" "GET /desk HTTP/1.1\r\n${H}${H}\r\n")"
is "no host" 400 "$(raw "$front" "GET /desk HTTP/1.1\r\n\r\n")"
is "a body over the bound" 413 "$(raw "$front" "POST /desk HTTP/1.1\r\n${H}Content-Length: 99999999\r\n\r\n")"
is "an unknown method" 501 "$(raw "$front" "BREW /desk HTTP/1.1\r\n$H\r\n")"
is "no route" 404 "$(raw "$front" "GET /nothing HTTP/1.1\r\n$H\r\n")"
long=$(printf 'x%.0s' $(seq 40000))
matches "a header over the bound" "^(431|413|400|414)?$" "$(raw "$front" "GET /desk HTTP/1.1\r\n${H}X-Long: $long\r\n\r\n")"
matches "no HTTP at all" "^(400|)$" "$(raw "$front" '\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n')"

# peer_closes BYTES: the node closes a connection that sends BYTES.  Its own
# greeting is read first.
peer_closes () {
  timeout 8 bash -c "exec 3<>/dev/tcp/$MESH_HOST/$peer; printf '$1' >&3; cat <&3 >/dev/null"
}
ok "peer: a frame over the bound" peer_closes '\x7f\xff\xff\xff'
ok "peer: an empty frame" peer_closes '\x00\x00\x00\x00'
ok "peer: no msgpack" peer_closes '\x00\x00\x00\x02\xc1\xc1'
ok "peer: a call before the greeting" peer_closes '\x00\x00\x00\x02\x91\x0a'
ok "peer: a greeting without a name" peer_closes '\x00\x00\x00\x03\x92\x01\x01'
ok "peer: silence" peer_closes ''
ok "peer: half a frame" peer_closes '\x00\x00\x00\x10\x91'

is "admin: malformed announcement" 400 "$(curl -s -o /dev/null -w '%{http_code}' -d '{"service": 1}' "http://$MESH_HOST:$admin/v1/announce")"
is "admin: announcement with a port of 0" 400 "$(curl -s -o /dev/null -w '%{http_code}' -d '{"service":"/a/services/b","version":"v","port":0,"slots":1}' "http://$MESH_HOST:$admin/v1/announce")"
is "admin: announcement with an unknown field" 400 "$(curl -s -o /dev/null -w '%{http_code}' -d '{"service":"/a/services/b","version":"v","port":1,"slots":1,"x":1}' "http://$MESH_HOST:$admin/v1/announce")"
is "admin: change without a token" 403 "$(curl -s -o /dev/null -w '%{http_code}' -d '{"team":"shop","operation":"o","expected":-1,"sets":[["/shop/services/x",null]]}' "http://$MESH_HOST:$admin/v1/changes")"
is "admin: change that is no JSON" 400 "$(curl -s -o /dev/null -w '%{http_code}' -d '{{{{' "http://$MESH_HOST:$admin/v1/changes")"
is "admin: a fault without --test-faults" 403 "$(curl -s -o /dev/null -w '%{http_code}' -d '{"dc":"a","cut":true}' "http://$MESH_HOST:$admin/v1/fault")"
is "admin: wrong method" 405 "$(curl -s -o /dev/null -w '%{http_code}' "http://$MESH_HOST:$admin/v1/changes")"
is "admin: no such path" 404 "$(curl -s -o /dev/null -w '%{http_code}' "http://$MESH_HOST:$admin/v1/secrets")"

# Many idle connections at the callers' port do not keep others out.
for n in $(seq 60); do
  { exec {fd}<>"/dev/tcp/$MESH_HOST/$front"; fds="$fds $fd"; } 2>/dev/null
done
is "a request beside 60 idle connections" 200 "$(raw "$front" "GET /desk HTTP/1.1\r\n$H\r\n")"
for fd in $fds; do exec {fd}>&-; done
is "the node still serves" 200 "$(raw "$front" "GET /desk HTTP/1.1\r\n$H\r\n")"

# A node with another key is not let in; with both keys it is.
CARDAMOM_CLUSTER_KEY_OLD= MESH_KEY=ffffffffffffffffffffffffffffffffffff MESH_PLATFORM=127.0.0.1:1 mesh_node 1 a east
sleep 2
is "a node with another key is no member" 1 "$(mesh_get "$(mesh_admin 0)/v1/nodes" | grep -c '"node"')"
ok "denied connections are counted" test "$(mesh_counter 0 cardamom_peers_denied_total)" -gt 0
mesh_kill node1
key=$MESH_KEY
MESH_KEY=ffffffffffffffffffffffffffffffffffff mesh_node 2 a east --cluster-key-old="$key"
ok "a node with both keys is a member" mesh_until 20 mesh_ready 2
is "no secret is logged" 0 "$(cat "$MESH_DIR"/*.log | grep -c -e "$key" -e "$CARDAMOM_TOKEN")"
done_testing
