#!/usr/bin/env bash
# Guards against doubled or lost work when appends take effect without an answer and the log is out afterwards (F8, F9).
set -euo pipefail
. "$(dirname "$0")/cluster.sh"
start_cluster 2 2 --backends=16
start_load --jobs=400 --rate=40 --deadline-ms=6000 --resubmit-ms=7000
control '{"op":"log_lost_answers","share":0.5,"for_ms":3000}'
sleep 3
control '{"op":"log_outage","for_ms":6000}'
require_clean_load
