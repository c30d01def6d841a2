#!/usr/bin/env bash
# Guards against two owners of one key while the first owner is paused, and against tasks that the paused process starts
# again after it resumes (G1, G4).
set -euo pipefail
. "$(dirname "$0")/cluster.sh"
start_cluster 2 2 --backends=16
start_load --jobs=320 --rate=40 --deadline-ms=6000 --resubmit-ms=3000 --impatient=0.1
sleep 2
signal_process e-1 STOP
sleep 5
signal_process e-1 CONT
require_clean_load
