#!/usr/bin/env bash
# A server leaves by DELETE alone while the store is down; the node that
# acknowledged it is killed and starts again; a status report of the server
# arrives late.  TROUBLE=0: the store is up and no node is killed.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../standins-3/case.sh"
pick_base 2
start_table
sleep 0.5
coproc CASE { timeout 110 target/review-3/case-13 "$here/record.txt" "$BASE" "$BASE" "${TROUBLE:-1}"; }
case_pid=$CASE_PID
TABLE=$((BASE + 10))
sleep 0.2
for n in 1 2; do write_settings $n true; start_node $n; done
exec 4<&"${CASE[0]}" 5>&"${CASE[1]}"
while read -r what <&4; do
  case $what in
    kill-1) kill -KILL "${node_pids[1]}"; wait "${node_pids[1]}" 2>/dev/null ;;
    start-1) write_settings 1 false; start_node 1 ;;
  esac
  echo done >&5
done
wait $case_pid
status=$?
[ $status -gt 2 ] && status=2
exit $status
