#!/usr/bin/env bash
# Four sidecars, each beside a server that is started again when it ends.
# Guards against: a request that ends every server that runs it, and comes
# again at any node, being sent to one server after the other, also after all
# nodes have been killed and after the platform's table came back from an older
# copy; and sound requests being refused along with it.
. "$(dirname "$0")/tap.sh"
dir=$(mktemp -d)
base=24400
. "$(dirname "$0")/sidecar.sh"
nodes="1 2 3 4"
pids=()
cleanup () {
  touch "$dir/stopping"
  signal_own TERM "${pids[@]}" $(cat "$dir"/*.pid 2>/dev/null)
  wait 2>/dev/null
  [ -z "${KEEP_LOGS:-}" ] || cp -r "$dir/." "$KEEP_LOGS"
  rm -rf "$dir"
}
trap cleanup EXIT

# supervise NODE: start the server beside NODE, and again when it has ended by a
# request; a line in servers.log for each such end.
supervise () {
  while [ ! -e "$dir/stopping" ]; do
    "$MESH_OUT/standin-server" --port="$(port $1 9)" --name="s$1" --reports="$(port $1 3)" &
    echo $! >"$dir/s$1.pid"
    wait $!
    [ $? = 3 ] || return 0
    echo "s$1 $(date +%s.%3N)" >>"$dir/servers.log"
    sleep 1
  done
}
send_request () { # NODE PATH
  curl -s -o /dev/null -w '%{http_code}\n' -m 5 -H 'Host: h' -H 'Timeout-Remaining-Ms: 3000' \
    -H "Attempt-Id: $BASHPID-$EPOCHREALTIME" "http://127.0.0.1:$(port $1 1)$2"
}
ends () { wc -l <"$dir/servers.log"; }
all_serve () { # Each of 40 requests, in turn at the nodes, is served.
  local i
  for i in $(seq 40); do [ "$(send_request $((i % 4 + 1)) "/d/all$i")" = 200 ] || return 1; done
}
# knows_servers NODE: the node has heard of a ready server beside each other.
knows_servers () {
  local n
  for n in $nodes; do
    [ "$n" = "$1" ] || grep -q "member=n$n .*service=desk version=v1 state=ready" "$dir/n$1.log" || return 1
  done
}
mesh_is_up () {
  local n
  for n in $nodes; do is_ready $n && knows_servers $n || return 1; done
}

: >"$dir/servers.log"
"$MESH_OUT/standin-rows" --port=$base &
pids+=($!)
until_ok curl -s "http://$table/"
config='{"version":"00000001","services":{"desk":{"healthPath":"/health"}},"routes":{"r":{"host":"h","prefix":"/d/","kind":"safe","timeout":"3s","service":"desk","maxAttempts":3},"w":{"host":"h","prefix":"/w/","kind":"unsafe","timeout":"3s","service":"desk","maxAttempts":3}},"limits":{}}'
curl -s -o /dev/null "http://$table/api/rows-tx" -d \
  "{\"puts\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\"value\":\"$(printf '%s' "$config" | base64 -w0)\"}]}"
marked=$(curl -s "http://$table/standin/version")
for n in $nodes; do write_settings $n 1; start_node $n; done
for n in $nodes; do supervise $n & pids+=($!); done
ok "four nodes with their servers are up" until_ok mesh_is_up
ok "and serve" until_ok all_serve

# Sound requests all the while, two in flight at each node.
for n in $nodes; do
  for k in 1 2; do
    ( i=0
      while [ ! -e "$dir/load-end" ]; do
        i=$((i + 1))
        send_request $n "/d/sound$((i % 7))" >>"$dir/load.$n.$k"
        sleep 0.03
      done ) &
    pids+=($!)
  done
done
sleep 0.5
for i in $(seq 24); do
  send_request $((i % 4 + 1)) "/d/crash-read" >>"$dir/crash"
  sleep 0.1
done
after_reads=$(ends)
echo "# $after_reads servers ended"
ok "a request that ends its servers ends two at the most" [ "$after_reads" -le 2 ]
is "its last attempts are refused as not run" "503" "$(tail -n 8 "$dir/crash" | sort -u)"
for i in $(seq 12); do
  send_request $((i % 4 + 1)) "/w/crash-write" >>"$dir/crash-write"
  sleep 0.1
done
after_writes=$(ends)
echo "# $((after_writes - after_reads)) more servers ended"
ok "and another one that may not be repeated, two more" [ $((after_writes - after_reads)) -le 2 ]
touch "$dir/load-end"
sleep 0.5
sound=$(cat "$dir"/load.* | wc -l)
served=$(cat "$dir"/load.* | grep -c '^200$')
echo "# $served of $sound sound requests were served"
ok "sound requests are served beside them" [ $((served * 100)) -ge $((sound * 95)) ]
ok "each of them, once all servers are back" until_ok all_serve

records () { curl -s -f "http://$table/api/rows-get?table=mesh&part=" | grep -o 'quarantine/[^"]*' | sort; }
# The records of requests that have not been answered since.
kept_records () {
  records | grep -vxFf <(sed -n 's/.*event=crash record=\([^ ]*\) active=0.*/quarantine\/\1/p' "$dir"/n*.log)
}
stores_both () { kept_records; [ "$(kept_records | wc -l)" = 4 ]; }
ok "two records of each are in the table" until_ok stores_both
stored=$(kept_records)
curl -s -o /dev/null "http://$table/standin/drill?to=$marked&away_ms=300"
stores_again () { [ -n "$stored" ] && [ "$(records)" = "$stored" ]; }
ok "the table came back without the records: they are written again" until_ok stores_again

for n in $nodes; do kill -KILL "${node_pids[$n]}"; wait "${node_pids[$n]}" 2>/dev/null; mv "$dir/n$n.log" "$dir/before$n.log"; write_settings $n 0; done
for n in $nodes; do start_node $n; done
ok "after the end of all nodes" until_ok mesh_is_up
ok "they serve" until_ok all_serve
before=$(ends)
for i in $(seq 8); do
  send_request $((i % 4 + 1)) "/d/crash-read" >>"$dir/crash-later"
  sleep 0.1
done
is "and such a request still ends no server" 0 $(($(ends) - before))
is "and is refused as not run" "503" "$(sort -u "$dir/crash-later")"
done_testing
