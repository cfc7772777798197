#!/usr/bin/env bash
# Three sidecars in two data centres of two regions, with a stand-in of the
# platform's table.  Guards against: an evacuation that is not heeded or not
# ended, also at a node that was down when its row was removed; an evacuation of
# all data centres, or a region that nobody is in, that is not refused at once;
# a configuration that is kept out without a line.
. "$(dirname "$0")/tap.sh"
dir=$(mktemp -d)
pids=()
base=25400
. "$(dirname "$0")/sidecar.sh"
cleanup () { signal_own TERM "${pids[@]}"; wait 2>/dev/null; rm -rf "$dir"; }
trap cleanup EXIT

"$MESH_OUT/standin-rows" --port=$base --servers="$(port 1 9):s1,$(port 2 9):s2,$(port 3 9):s3" &
pids+=($!)
put_row () { # TABLE KEY JSON
  curl -s -o /dev/null "http://$table/api/rows-tx" -d \
    "{\"puts\":[{\"table\":\"$1\",\"part\":\"\",\"key\":\"$2\",\"value\":\"$(printf '%s' "$3" | base64 -w0)\"}]}"
}
# remove_row TABLE KEY: remove the row, and put another one, which ends the
# long polls of the stand-in.
remove_row () {
  curl -s -o /dev/null "http://$table/api/rows-tx" -d \
    "{\"puts\":[{\"table\":\"$1\",\"part\":\"\",\"key\":\"other\",\"value\":\"e30=\"}],\"remove\":[{\"table\":\"$1\",\"part\":\"\",\"key\":\"$2\"}]}"
}
put_config () { # VERSION REGIONS MORE-OF-THE-SERVICE
  put_row op config "{\"version\":\"$1\",\"services\":{\"desk\":{\"healthPath\":\"/health\"$3}},\"routes\":{
    \"r\":{\"host\":\"h\",\"prefix\":\"/d/\",\"kind\":\"safe\",\"timeout\":\"2s\",\"service\":\"desk\",\"maxAttempts\":2},
    \"w\":{\"host\":\"h\",\"prefix\":\"/w/\",\"kind\":\"unsafe\",\"timeout\":\"2s\",\"service\":\"desk\",\"maxAttempts\":2,
    \"allowedRegions\":$2}},\"limits\":{}}"
}
sequence=0
report_servers () {
  local n
  sequence=$((sequence + 1))
  for n in 1 2 3; do
    curl -s -o /dev/null -X PUT "http://127.0.0.1:$(port $n 3)/api/instances/i$n" -d \
      "{\"service\":\"desk\",\"address\":\"127.0.0.1:$(port $n 9)\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"sequence\":$sequence,\"born\":1}"
  done
}
send_request () { # NODE PATH
  curl -s -w ' %{http_code}' -H 'Host: h' -H 'Timeout-Remaining-Ms: 2000' \
    -H "Attempt-Id: $BASHPID-$EPOCHREALTIME" "http://127.0.0.1:$(port $1 1)$2"
}
# served_by PATTERN PATH: each of 12 requests, at all nodes, gets an answer that
# matches.
served_by () {
  local i
  for i in $(seq 12); do send_request $((i % 3 + 1)) "$2" | grep -qE "$1" || return 1; done
}
log_has () { grep -q "$2" "$dir/n$1.log"; }
evacuated () { curl -s "http://127.0.0.1:$(port $1 5)/" | grep -q "^cardamom_evacuated_data_centres $2$"; }
all_ready () { is_ready 1 && is_ready 2 && is_ready 3; }

until_ok curl -s "http://$table/"
put_config 00000001 '["west"]'
# Nodes 1 and 2 are in data centre a of the west, node 3 in b of the east.
for n in 1 2 3; do
  write_settings $n 1
  [ $n -lt 3 ] || sed -i 's/"data_centre": "a", "region": "r"/"data_centre": "b", "region": "east"/' "$dir/n$n.json"
  sed -i 's/"region": "r"/"region": "west"/' "$dir/n$n.json"
  start_node $n
done
ok "three nodes are ready" until_ok all_ready
report_servers
ok "all servers are used" until_ok bash -c "for i in 1 2 3; do curl -s http://127.0.0.1:$(port 3 1)/d/x -H 'Host: h' -H 'Attempt-Id: 1' | grep -q s3 && exit 0; done; exit 1"
ok "a restricted route stays in its region" until_ok served_by '^s[12] 200$' /w/x

put_row op evacuate/a '{}'
ok "the evacuation is known" until_ok evacuated 1 1
ok "also in the other region" until_ok evacuated 3 1
ok "and told" until_ok log_has 1 "event=evacuation dc=a state=begun"
ok "the other data centre serves" served_by '^s3 200$' /d/x
ok "what may not leave the region is refused" served_by '^ 503$' /w/x
ok "and told" until_ok log_has 1 "event=refused .*reason=evacuated"
put_row op evacuate/b '{}'
until_ok evacuated 3 2
ok "with all evacuated everything is refused" served_by '^ 503$' /d/x
put_row op evacuate/nowhere '{}'
remove_row op evacuate/b
ok "the end is known" until_ok evacuated 1 2
ok "and heeded" until_ok served_by '^s3 200$' /d/x

# Node 2 is down while the row is removed, and gets the rows from node 1, then
# from the table.
kill -KILL "${node_pids[2]}"; wait "${node_pids[2]}" 2>/dev/null
remove_row op evacuate/a
ok "the return is known" until_ok evacuated 1 1
write_settings 2 0
sed -i 's/"region": "r"/"region": "west"/' "$dir/n2.json"
start_node 2
until_ok is_ready 2
report_servers
ok "also at the node that was down" until_ok evacuated 2 1
ok "the servers of the data centre serve again" until_ok served_by '^s[12] 200$' /w/x
# A node that stands still for so long that its streams are given up misses the
# removal.
put_row op evacuate/a '{}'
until_ok evacuated 2 2
kill -STOP "${node_pids[2]}"
until_ok log_has 1 "event=peer peer=n2 state=lost why=.silent"
remove_row op evacuate/a
until_ok evacuated 1 1
kill -CONT "${node_pids[2]}"
ok "also at the node that stood still" until_ok evacuated 2 1

put_config 00000002 '["north"]'
ok "a region that nobody is in" until_ok log_has 2 "event=config version=2"
ok "is refused" until_ok served_by '^ 503$' /w/x
ok "and told" until_ok log_has 2 "event=refused .*reason=region"
put_config 00000003 '["west"]' ',"warmupPerS":0'
ok "a warm-up rate of 0 is kept out with a line" until_ok log_has 1 "event=config-refused .*warmupPerS"
put_config 00000004 '"west"'
ok "regions that are no list, too" until_ok log_has 1 "event=config-refused .*allowedRegions"
ok "what was in force stays" served_by '^s[123] 200$' /d/x
done_testing
