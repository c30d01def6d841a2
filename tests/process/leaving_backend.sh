#!/usr/bin/env bash
# Guards against tasks that start on a backend server more than 3 s after the VM list first marked it as leaving (G6).
set -euo pipefail
. "$(dirname "$0")/cluster.sh"
start_cluster 2 2 --backends=12
start_load --jobs=300 --rate=30 --deadline-ms=6000 --resubmit-ms=7000
sleep 2
control_stand_ins '{"op":"leaving","name":"b-1"}'
control_stand_ins '{"op":"leaving","name":"b-2"}'
require_clean_load
[ "$(stand_in_count /backends/0/starts)" -gt 0 ] || fail "no task started on b-1 before it was leaving"
[ "$(stand_in_count /totals/late_starts)" -eq 0 ] || fail "$(stand_in_count /totals/late_starts) tasks started on a leaving backend server"
curl -sf -m 5 -o "$run_dir/status" "http://${caller_address[e-1]}/status" || fail "e-1 did not answer GET /status"
grep -q 'leaving: gets no new task' "$run_dir/status" || fail "/status of e-1 does not say why b-1 and b-2 get no task"
