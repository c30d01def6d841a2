#!/usr/bin/env bash
# own_interface.sh PORT CROWD...: like platform/standins/hostile_crowds.sh, for a process with the project's own settings; PORT is callers or peers.
set -euo pipefail
. "$(dirname "$0")/../process/cluster.sh"
. "$(dirname "$0")/crowd.sh"
extra_settings="
[limits]
memory_mb = $machine_mb
max_fds = $machine_fds"

ordinary_request()
{
    start_load --jobs=1 --rate=1 --deadline-ms=8000
    wait_load && [ "$(load_summary_value complete)" = 1 ]
}

start_cluster 1 1 --backends=4
address=${caller_address[e-1]}
[ "$1" = callers ] || address=${peer_address[e-1]}
shift
for crowd in "$@"; do
    hold_crowd "$crowd" "${address#*:}" e-1
done
