#!/usr/bin/env bash
# Two sidecars on hosts of little memory, and a backend server that answers some
# requests with bytes without end.  Guards against a node that keeps them all and
# ends, or that serves nobody else meanwhile.  Runs alone: see run-checks.
. "$(dirname "$0")/tap.sh"
dir=$(mktemp -d)
pids=()
base=28400
. "$(dirname "$0")/sidecar.sh"
cleanup () { signal_own TERM "${pids[@]}"; wait 2>/dev/null; rm -rf "$dir"; }
trap cleanup EXIT

# Fixed before the product was changed.
HOST_MB=48 CALLERS=8 SLOTS=16

"$MESH_OUT/standin-rows" --port=$base &
pids+=($!)
"$MESH_OUT/standin-endless" "$(port 2 9)" &
pids+=($!)
config='{"version":"00000001","services":{"desk":{"healthPath":"/health"}},"routes":{"r":{"host":"h","prefix":"/d/",
  "kind":"KIND","timeout":"8s","service":"desk","maxAttempts":2},"u":{"host":"h","prefix":"/u/",
  "kind":"unsafe","timeout":"8s","service":"desk","maxAttempts":2}},"limits":{}}'
until_ok curl -s "http://$table/"
curl -s -o /dev/null "http://$table/api/rows-tx" -d \
  "{\"puts\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\"value\":\"$(printf '%s' "${config/KIND/safe}" | base64 -w0)\"}]}"

sequence=0
report_server () {
  sequence=$((sequence + 1))
  curl -s -o /dev/null -X PUT "http://127.0.0.1:$(port 2 3)/api/instances/i2" -d \
    "{\"service\":\"desk\",\"address\":\"127.0.0.1:$(port 2 9)\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":$SLOTS,\"state\":\"ready\",\"sequence\":$sequence,\"born\":1}"
}
keep_reporting () { while sleep 0.3; do report_server; done; }
request () { # PATH TIMEOUT-MS
  curl -s -o /dev/null -w '%{http_code}' -m 15 -H 'Host: h' -H "Timeout-Remaining-Ms: $2" \
    -H "Attempt-Id: $BASHPID-$EPOCHREALTIME" "http://127.0.0.1:$(port 1 1)$1"
}
serves () { [ "$(request /d/x 3000)" = 200 ]; }
print_ends () { # The last requests that got no answer of the server.
  sleep 1 # The nodes write their logs a little later.
  grep -hE 'event=(failed|refused|unanswered)' "$dir"/n*.log | sort | tail -12
}
all_served () { # Ordinary requests, some of them for 200 KB, while others are held.
  local i path status
  for i in 1 2 3 4 5 6; do
    for path in /d/x /u/x /d/large; do
      status=$(request $path 3000)
      [ "$status" = 200 ] || { echo "$path, time $i: $status"; print_ends; return 1; }
    done
    sleep 0.2
  done
}
memory_kb () { sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/${node_pids[$1]}/status" 2>/dev/null || echo 0; }
within () { # Both nodes live, within the memory of their hosts.
  local n kb
  for n in 1 2; do
    kill -0 "${node_pids[$n]}" 2>/dev/null || { echo "node $n has ended"; return 1; }
    kb=$(memory_kb $n)
    echo "node $n: $((kb / 1024)) MB of $HOST_MB"
    [ "$kb" -le $((HOST_MB * 1024)) ] || return 1
  done
}
for n in 1 2; do
  write_settings $n 1
  sed -i "s/\"node\":/\"memory_mb\": $HOST_MB, \"node\":/" "$dir/n$n.json"
  start_node $n
done
until_ok is_ready 1
until_ok is_ready 2
report_server
keep_reporting &
pids+=($!)
ok "a request is served" until_ok serves

# endless PATH: CALLERS requests for bytes without end, and ordinary ones beside
# them.
endless () {
  local i callers=()
  for i in $(seq $CALLERS); do request "$1" 8000 >>"$dir/answers" & callers+=($!); done
  sleep 0.3
  ok "$1: others are answered meanwhile" all_served
  wait "${callers[@]}"
  ok "$1: nobody gets them as an answer" bash -c "! grep -q 200 '$dir/answers'"
  echo "# $1: $(within | tr '\n' ' '), answers $(cat "$dir/answers" | sed 's/\(...\)/\1 /g')"
  ok "$1: both nodes live within their memory" within
  rm -f "$dir/answers"
}
for form in head line close length chunks other interim; do
  endless "/d/endless-$form"
  endless "/u/endless-$form"
done
for form in head close length; do endless "/d/endless-$form/slow"; done
for i in $(seq $CALLERS); do request /d/endless-after 8000 >/dev/null; done
ok "bytes behind a whole answer: both nodes live within their memory" within
ok "and others are answered" all_served
done_testing
