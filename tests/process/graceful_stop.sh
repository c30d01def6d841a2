#!/usr/bin/env bash
# Guards against a planned stop that closes connections before their answers are sent (G7) or that does not finish.
set -euo pipefail
. "$(dirname "$0")/cluster.sh"
start_cluster 2 2 --backends=16
start_load --jobs=320 --rate=40 --deadline-ms=4000 --resubmit-ms=5000 --impatient=0
sleep 3
STOP_SECONDS=25 # covers the deadline of the last job and the time for which answers stay available
require_graceful_stop e-3
require_clean_load
[ "$(load_report_value cut)" -eq 0 ] || { cat "$run_dir/load.txt" >&2; fail "$(load_report_value cut) answers were cut"; }
