# Functions shared by the measurements.  They print rows of the table that
# run-measures writes: name, value, unit, target, met or missed.
MESH_OUT=${MESH_OUT:-$(cd "$(dirname "$0")/../.." && pwd)/build/release}
. "$(dirname "$0")/../tap.sh"

# report_target NAME VALUE UNIT TARGET max|min: a row with a target that the
# value must not exceed (max) or fall below (min).  An empty value misses it.
report_target () {
  local verdict
  verdict=$(awk -v value="$2" -v target="$4" -v bound="$5" 'BEGIN {
    print (value != "" && (bound == "max" ? value + 0 <= target + 0 : value + 0 >= target + 0)) ? "met" : "missed" }')
  printf '%s\t%s\t%s\t%s\t%s\n' "$1" "$2" "$3" "$4" "$verdict"
}

# report_value NAME VALUE UNIT: a row without a target.
report_value () { printf '%s\t%s\t%s\t-\t-\n' "$1" "$2" "$3"; }

# calculate EXPRESSION [DECIMALS]: the value of an awk expression, with 3
# decimals by default.
calculate () { awk "BEGIN { printf \"%.${2:-3}f\", $1 }"; }

# sum_counter NAME: the sum of a counter over all nodes that answer.
sum_counter () {
  local i sum=0 value
  for i in $(seq 0 $((MESH_COUNT - 1))); do
    value=$(mesh_counter "$i" "$1") && sum=$((sum + ${value:-0}))
  done
  echo $sum
}

# platform_stat FIELD: a number in the statistics of the platform's stand-in.
platform_stat () {
  mesh_get "$MESH_PLATFORM/standin/stats" | sed "s/.*\"$1\":\([0-9]*\).*/\1/"
}

# rss_kb PROCESS: its resident memory in kB.
rss_kb () { awk '/^VmRSS/ { print $2 }' "/proc/${MESH_PIDS[$1]}/status"; }

# cpu_ms PROCESS: its processor time in milliseconds; the kernel counts in
# ticks of 10 ms.
cpu_ms () { awk '{ print ($14 + $15) * 10 }' "/proc/${MESH_PIDS[$1]}/stat"; }

# now_ms: the wall time in milliseconds.
now_ms () { date +%s%3N; }

# print_service TEAM SERVICE PREFIX [FIELDS]: a bundle with the service and a
# route to it.  FIELDS are further JSON members of the service, beginning with a
# comma.
print_service () {
  cat <<J
{"/$1/services/$2": {"version": "v1", "timeout_ms": 2000 ${4:-}},
 "/$1/routes/$2": {"prefix": "/$3", "service": "$2"}}
J
}
