# Shared by the measurements.
MESH_OUT=${MESH_OUT:-$(cd "$(dirname "$0")/../.." && pwd)/build/release}
. "$(dirname "$0")/../tap.sh"

# emit NAME VALUE UNIT TARGET max|min: one line of the table.  max: the value
# must not exceed the target.
emit () {
  local verdict
  verdict=$(awk -v v="$2" -v t="$4" -v how="$5" 'BEGIN {
    print (v != "" && (how == "max" ? v + 0 <= t + 0 : v + 0 >= t + 0)) ? "met" : "missed" }')
  printf '%s\t%s\t%s\t%s\t%s\n' "$1" "$2" "$3" "$4" "$verdict"
}

# note NAME VALUE UNIT: a figure without a target.
note () { printf '%s\t%s\t%s\t-\t-\n' "$1" "$2" "$3"; }

calc () { awk "BEGIN { printf \"%.${2:-3}f\", $1 }"; }

# sum_counter NAME: over all nodes that answer.
sum_counter () {
  local i sum=0 v
  for i in $(seq 0 $((MESH_COUNT - 1))); do
    v=$(mesh_counter "$i" "$1") && sum=$((sum + ${v:-0}))
  done
  echo $sum
}

stats () { # FIELD of the platform's stand-in
  mesh_get "$MESH_PLATFORM/standin/stats" | sed "s/.*\"$1\":\([0-9]*\).*/\1/"
}

rss_kb () { awk '/^VmRSS/ { print $2 }' "/proc/${MESH_PIDS[$1]}/status"; }

# Processor time of a process, in milliseconds.
cpu_ms () { awk '{ print ($14 + $15) * 10 }' "/proc/${MESH_PIDS[$1]}/stat"; }

now_ms () { date +%s%3N; }

write_service () { # TEAM SERVICE PREFIX [EXTRA FIELDS]
  cat <<J
{"/$1/services/$2": {"version": "v1", "timeout_ms": 2000 ${4:-}},
 "/$1/routes/$2": {"prefix": "/$3", "service": "$2"}}
J
}
