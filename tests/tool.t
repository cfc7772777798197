#!/usr/bin/env bash
# The command lines of cardamomd and cardamomctl: help, versions, validation of
# settings, error messages, exit codes, text and JSON output, and the burn
# report.  Guards against output that changes and settings that
# docs/OPERATING.md lacks.
MESH_BASE=22700 MESH_DCS=a
. "$(dirname "$0")/tap.sh"
daemon=$MESH_OUT/cardamomd ctl=$MESH_OUT/cardamomctl
cluster_key=0123456789abcdef0123456789abcdef
is "cardamomd --version" "cardamomd 0.1.0" "$($daemon --version)"
is "cardamomctl --version" "cardamomctl 0.1.0" "$($ctl --version)"
matches "cardamomd --help names every flag" "--cluster-key=TEXT" "$($daemon --help)"
matches "cardamomctl --help names the exit codes" "8 taken back" "$($ctl --help)"
is "good settings" "the settings are good" \
  "$($daemon --check --node=n --dc=a --region=r --cluster-key=$cluster_key)"
is "all errors at once" "--node: 'a b' must have 1 to 127 characters and no space, '/', '|', ',' or quote
--cluster-key: has fewer than 32 characters; draw a longer one at random
--balancer: no balancer named 'magic'; choose one of: least-cost, round-robin
--seeds: '10.0.0.1' is no address; write IP:PORT, as 127.0.0.1:7000
--dcs: lacks this node's data centre 'a'; name every data centre of the mesh" \
  "$($daemon --check --node='a b' --dc=a --region=r --cluster-key=short --balancer=magic --seeds=10.0.0.1 --dcs=b,c 2>&1)"
is "their exit code" 2 "$($daemon --check --node='a b' --dc=a --region=r --cluster-key=$cluster_key >/dev/null 2>&1; echo $?)"
is "an unknown flag" "unknown argument '--magic=1'; see --help for the flags" \
  "$($daemon --magic=1 --node=n --dc=a --region=r --cluster-key=$cluster_key 2>&1)"
matches "a port in use" "cannot listen on 127.0.0.1:$MESH_BASE: Address already in use; choose another" \
  "$(mesh_start_platform; mesh_wait_until 5 mesh_get $MESH_PLATFORM/standin/stats; $daemon --node=n --dc=a --region=r --cluster-key=$cluster_key --peer-port=$MESH_BASE 2>&1 | tail -1; mesh_kill_all)"
is "an unknown command" "cardamomctl: no command 'fly'; see --help" "$($ctl fly 2>&1)"
is "a command with too little" "cardamomctl: usage: cardamomctl set PATH FILE" "$($ctl set /a 2>&1)"
is "no node to talk to" 5 "$($ctl --nodes=127.0.0.1:1 nodes >/dev/null 2>&1; echo $?)"
echo '{"/t/routes/r": {"prefix": "x", "service": "s"}, "/t/services/v": {}}' >"$MESH_DIR/bad.json"
is "an offline check tells everything that is wrong" "/t/routes/r: prefix: must begin with '/'
/t/services/v: version: is missing; add it" "$($ctl check "$MESH_DIR/bad.json" 2>&1)"
echo '{"/t/services/s": {' >"$MESH_DIR/broken.json"
matches "a file that is no JSON" "broken.json: line 2: .*; it must be JSON" "$($ctl check "$MESH_DIR/broken.json" 2>&1)"

ok "the settings in OPERATING.md are those of the programs" \
  grep -qF "$($daemon --reference | tail -n +3 | sed -n 8p)" "$tests_dir/../docs/OPERATING.md"
missing_settings=0
while IFS= read -r line; do
  grep -qF -- "$line" "$tests_dir/../docs/OPERATING.md" || missing_settings=$((missing_settings + 1))
done < <($daemon --reference; $ctl --reference)
is "no setting is missing there" 0 $missing_settings
start_mesh "a:east:3"
create_team shop
start_backends /shop/services/desk v1 0 1
echo '{"/shop/services/desk": {"version": "v1", "objective_permille": 990},
 "/shop/routes/desk": {"prefix": "/desk", "service": "desk"}}' >"$MESH_DIR/desk.json"
is "apply" "accepted as version 1
version 1 is in force on all 3 nodes" "$(mesh_ctl apply "$MESH_DIR/desk.json")"
is "apply, as JSON" '{
  "version": 2
}' "$(mesh_ctl --json=1 apply "$MESH_DIR/desk.json")"
is "list" "last change of shop: version 2
/shop/routes/desk
/shop/services/desk" "$(mesh_ctl list)"
echo '{"/shop/services/desk": {"version": "v2"}}' >"$MESH_DIR/next.json"
is "diff" '/shop/services/desk
- {"objective_permille": 990, "version": "v1"}
+ {"version": "v2"}' "$(mesh_ctl diff "$MESH_DIR/next.json")"
is "history" 2 "$(mesh_ctl history | grep -c '^version')"
is "a missing document" "cardamomctl: no document /shop/services/x; see 'cardamomctl list'" "$(mesh_ctl get /shop/services/x 2>&1)"
ok "the upstreams are known" wait_for_upstreams 2
matches "upstreams" "/shop/services/desk +v1 +a-n0 +a +12 +up" "$(mesh_ctl upstreams)"
mesh_post "$MESH_HOST:$(mesh_backend_port 0)/standin/control" '{"error_permille": 1000}' >/dev/null
mesh_post "$MESH_HOST:$(mesh_backend_port 1)/standin/control" '{"error_permille": 1000}' >/dev/null
run_load burn --targets="$(caller_addresses)" --path=/desk/1 --rate=100 --seconds=1
mesh_ctl --plot="$MESH_DIR/burn.svg" report burn >"$MESH_DIR/burn.txt"
is "report burn: exit code" 0 $?
matches "a burning route pages" "^/shop/routes/desk +99.0% +100.00 +100.00 +100.00 +100.00 page" "$(cat "$MESH_DIR/burn.txt")"
matches "its plot" "^<svg .*" "$(head -1 "$MESH_DIR/burn.svg")"
mesh_kill node2
mesh_ctl report burn >"$MESH_DIR/burn2.txt"
is "with a node that cannot be reached: exit code" 5 $?
matches "that node is named" "node a-n2 cannot be reached: its calls are not in the report" "$(cat "$MESH_DIR/burn2.txt")"
matches "counters" "cardamom_calls_total +[0-9]+" "$(mesh_ctl counters a-n0)"
# The number of a process of these tests that has ended may be another's.
other=$( (sleep 60 >/dev/null 2>&1 & echo $!) )
sleep 60 &
signal_own TERM "$other" $!
wait $!
is "a process of the tests is ended" 143 $?
ok "a process that is not theirs runs on" grep -q '^State:.[^Z]' "/proc/$other/status"
kill "$other"
done_testing
