#!/usr/bin/env bash
# Four sidecars on hosts of little memory, one of them beside the backend
# server, and callers who take nothing, or little, of large answers: at the
# server's node, at the others and at all, beside a crowd of bodies, and while
# nodes and the server stop, start and freeze.  Guards against what crowd.t
# does.  Runs alone: see run-checks.
. "$(dirname "$0")/tap.sh"
base=29400
. "$(dirname "$0")/crowd.sh"
nodes="1 2 3 4"

# The crowd and its bounds, fixed before the product was changed.
HOST_MB=48 HOST_FDS=400 BODY_BYTES=4194304 CALLERS=40 REQUESTS=300 SMALL_BYTES=61440

large=/d/large-$BODY_BYTES
all_within () { local n bad=0; for n in $nodes; do within $n $HOST_MB || bad=1; done; return $bad; }
all_serve () { local n; for n in $nodes; do serves_again $n || return 1; done; }
# reads_whole NODE: a caller who reads steadily gets a large answer, whole; and
# no part of one that looks complete.
reads_whole () {
  local i result
  for i in $(seq 30); do
    result=$(curl -s -o "$dir/answer" --limit-rate 4M -m 60 -w '%{http_code}' -H 'Host: h' \
      -H 'Timeout-Remaining-Ms: 15000' -H "Attempt-Id: $BASHPID-$EPOCHREALTIME" "http://127.0.0.1:$(port "$1" 1)$large") || continue
    [ "$result" != 200 ] && sleep 0.3 && continue
    result=$(stat -c %s "$dir/answer")
    echo "$result bytes of $BODY_BYTES"
    [ "$result" = "$BODY_BYTES" ]
    return
  done
  echo "no whole answer: $result"
  return 1
}
# check LABEL [COMMAND]: what must hold while the crowds stay, with what COMMAND
# does to the nodes meanwhile, and after them.
check () {
  wait_held
  ${2:-true}
  ok "$1: ordinary requests are answered while the crowd stays" all_serve
  ok "$1: a steady reader gets a large answer whole" reads_whole 1
  sleep 3
  ok "$1: the nodes live within their memory while the crowd stays" all_within
  stop_crowds
  ok "$1: ordinary requests are answered after it" all_serve
  echo "# $1: $held; $(all_within | tr '\n' ' ')"
  ok "$1: all nodes live within their memory" all_within
  stop_nodes
}
# crowd_at "NODE..." FORM CALLERS BYTES PATH FLAG...: the same at several nodes.
crowd_at () {
  local n
  for n in $1; do start_crowd "$n" "${@:2}"; done
}

start_nodes $HOST_MB $BODY_BYTES unsafe 8s
crowd_at 2 answers $CALLERS 0 $large
check "answers at the server's node"

start_nodes $HOST_MB $BODY_BYTES unsafe 8s
crowd_at "1 3 4" answers $CALLERS 0 $large
check "answers at the other nodes"

start_nodes $HOST_MB $BODY_BYTES safe 8s
crowd_at "1 2 3 4" answers $CALLERS 0 $large
check "answers of safe requests at all nodes"

start_nodes $HOST_MB $BODY_BYTES safe 8s
crowd_at "1 2" answers $CALLERS 0 $large --read-rate=10000
crowd_at "3 4" answers $CALLERS 0 $large --read-rate=1000000 --read-max=1000000
check "slow readers, and readers that stop"

start_nodes $HOST_MB $BODY_BYTES safe 8s
crowd_at "1 2 3 4" answers $CALLERS 0 /d/large-$SMALL_BYTES --requests=$REQUESTS
check "small answers, many a connection"

start_nodes $HOST_MB $BODY_BYTES unsafe 8s
crowd_at "1 2 3 4" answers $CALLERS 0 $large
crowd_at "1 2 3 4" whole $CALLERS $BODY_BYTES /d/x
crowd_at "1 3" complete $CALLERS $BODY_BYTES $large
check "answers and bodies at all nodes"

disturb () {
  kill -STOP "$server_pid"
  sleep 1
  kill -TERM "${node_pids[3]}"
  kill -CONT "$server_pid"
  kill -STOP "${node_pids[4]}"
  sleep 1
  kill -KILL "$server_pid"
  wait "${node_pids[3]}" "$server_pid" 2>/dev/null
  start_node 3
  start_server
  kill -CONT "${node_pids[4]}"
}
start_nodes $HOST_MB $BODY_BYTES unsafe 8s
crowd_at "1 2 3 4" answers $CALLERS 0 $large
check "while nodes and the server stop, start and freeze" disturb
done_testing
