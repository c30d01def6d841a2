#!/usr/bin/env bash
# Guards against doubled or lost tasks when the responses to successful appends are lost and the log service is unavailable
# afterwards (F8, F9).
set -euo pipefail
. "$(dirname "$0")/cluster.sh"
start_cluster 2 2 --backends=16
start_load --jobs=480 --rate=40 --deadline-ms=6000 --resubmit-ms=7000
control_stand_ins '{"op":"log_lost_answers","share":1,"for_ms":5500}' # longer than the time between two extensions of a grant
sleep 5.5
control_stand_ins '{"op":"log_outage","for_ms":6000}'
require_clean_load
[ "$(stand_in_count /log/answers_lost)" -gt 0 ] || fail "no response to an append was lost"
[ "$(stand_in_count /log/refused_in_outage)" -gt 0 ] || fail "no request reached the log service during its outage"
