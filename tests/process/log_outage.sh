#!/usr/bin/env bash
# Guards against doubled or lost work when appends take effect without an answer and the log is out afterwards (F8, F9).
set -euo pipefail
. "$(dirname "$0")/cluster.sh"
start_cluster 2 2 --backends=16
start_load --jobs=480 --rate=40 --deadline-ms=6000 --resubmit-ms=7000
control '{"op":"log_lost_answers","share":1,"for_ms":5500}' # longer than the time between two extensions of a grant
sleep 5.5
control '{"op":"log_outage","for_ms":6000}'
require_clean_load
[ "$(count_of /log/answers_lost)" -gt 0 ] || fail "no answer of an append was lost"
[ "$(count_of /log/refused_in_outage)" -gt 0 ] || fail "nobody used the log during its outage"
