#!/usr/bin/env bash
# The platform's table comes back from a copy in which a key that was taken away
# still is.  Guards against: a node that stood still meanwhile, believes the
# copy, and serves that key.
. "$(dirname "$0")/tap.sh"
dir=$(mktemp -d)
pids=()
base=32200
. "$(dirname "$0")/sidecar.sh"
cleanup () { signal_own CONT "${pids[@]}"; signal_own TERM "${pids[@]}"; wait 2>/dev/null; rm -rf "$dir"; }
trap cleanup EXIT

"$MESH_OUT/standin-rows" --port=$base &
pids+=($!)
"$MESH_OUT/standin-rows" --port=$((base + 1)) --servers="$(port 1 9):s1" &
pids+=($!)
put_config () { # VERSION TENANTS
  local config
  config=$(printf '{"version":"%08x","services":{"desk":{"healthPath":"/health"}},"routes":{
    "r":{"host":"h","prefix":"/d/","kind":"safe","timeout":"2s","service":"desk","maxAttempts":2}},
    "limits":{},"tenants":%s}' "$1" "$2")
  curl -s -o /dev/null -f "http://$table/api/rows-tx" -d \
    "{\"puts\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\"value\":\"$(printf '%s' "$config" | base64 -w0)\"}]}"
}
shop='"shop":{"apiKeys":["shop-key"],"ratePerS":500,"burst":500}'
bank='"bank":{"apiKeys":["bank-key"],"ratePerS":500,"burst":500}'
status () { # KEY
  curl -s -o /dev/null -w '%{http_code}\n' -H 'Host: h' -H 'Timeout-Remaining-Ms: 900' -H "Attempt-Id: $BASHPID-$EPOCHREALTIME" \
    -H "Authorization: Bearer $1" "http://127.0.0.1:$(port 1 1)/d/x"
}
status_is () { [ "$(status "$2")" = "$1" ]; }

until_ok curl -s "http://$table/"
put_config 1 "{$shop,$bank}"
write_settings 1 1
sed -i 's/"node":/"fail_closed": true, "revoke": "5s", "node":/' "$dir/n1.json"
start_node 1
until_ok is_ready 1
curl -s -o /dev/null -X PUT "http://127.0.0.1:$(port 1 3)/api/instances/i1" -d \
  "{\"service\":\"desk\",\"address\":\"127.0.0.1:$(port 1 9)\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"sequence\":1,\"born\":1}"
ok "the key is served" until_ok status_is 200 bank-key

marked=$(curl -s "http://$table/standin/version")
kill -STOP "${node_pids[1]}"
put_config 2 "{$shop}"
sleep 5
curl -s -o /dev/null "http://$table/standin/drill?to=$marked&away_ms=100"
sleep 0.2
kill -CONT "${node_pids[1]}"
# The operator writes again 1.5 s after the table is back.
for i in $(seq 30); do status bank-key; sleep 0.04; done >"$dir/statuses"
is "the key isn't served from the copy" 0 "$(grep -c 200 "$dir/statuses")"
put_config 2 "{$shop}"
ok "once the operator has written again, other keys are served" until_ok status_is 200 shop-key
ok "and this one is unknown" status_is 401 bank-key
done_testing
