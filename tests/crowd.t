#!/usr/bin/env bash
# Two sidecars on hosts of little memory, and crowds of callers that nobody
# controls.  Guards against a process that ends, hangs or grows beyond the
# memory or the descriptors of its host, and against ordinary callers who get no
# answers after that; and against a single large body that is not served in
# calm.  No times and no shares are checked.  Runs alone: see run-checks.
. "$(dirname "$0")/tap.sh"
base=27400
. "$(dirname "$0")/crowd.sh"

# The crowd and its bounds, fixed before the product was changed.
HOST_MB=48 HOST_FDS=400 BODY_BYTES=2097152 CALLERS=40 MANY_CALLERS=600
LARGE_HOST_MB=160 LARGE_BODY_BYTES=67108864

# crowd FORM CALLERS BYTES [PATH]: play the form on fresh nodes.
crowd () {
  start_nodes $HOST_MB $BODY_BYTES
  start_crowd 1 "$@"
  wait_held
  echo "# $1: ${held:-still sending after 60 s }; $(within 1 $HOST_MB); $(within 2 $HOST_MB)"
  ok "$1: the caller's node lives within its memory" within 1 $HOST_MB
  ok "$1: the server's node lives within its memory" within 2 $HOST_MB
  ok "$1: an ordinary request is answered while the crowd stays" serves
  stop_crowds
  ok "$1: and after it" serves_again
  stop_nodes
}

crowd whole $CALLERS $BODY_BYTES
crowd pieces $CALLERS $BODY_BYTES
crowd chunks $CALLERS $BODY_BYTES
crowd bits $CALLERS $BODY_BYTES
crowd over $CALLERS $BODY_BYTES
crowd endless $CALLERS $BODY_BYTES
crowd complete $CALLERS $BODY_BYTES
crowd answers $CALLERS 0 /d/large-$BODY_BYTES
crowd heads $CALLERS 0
crowd idle $MANY_CALLERS 0

# One caller alone, with the largest body that the limits allow.
start_nodes $LARGE_HOST_MB $LARGE_BODY_BYTES
head -c $LARGE_BODY_BYTES /dev/zero >"$dir/large"
is "a single body at the limit is served in calm" 200 "$(curl -s -o /dev/null -w '%{http_code}' -m 60 -X PUT \
  -H 'Expect:' -H 'Host: h' -H 'Timeout-Remaining-Ms: 30000' -H 'Attempt-Id: large' --data-binary @"$dir/large" \
  "http://127.0.0.1:$(port 1 1)/d/x")"
echo "# $(within 1 $LARGE_HOST_MB); $(within 2 $LARGE_HOST_MB)"
ok "by the caller's node within its memory" within 1 $LARGE_HOST_MB
ok "and by the server's node" within 2 $LARGE_HOST_MB
stop_nodes
done_testing
