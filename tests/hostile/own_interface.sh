#!/usr/bin/env bash
# own_interface.sh PORT CROWD...: like platform/standins/hostile_crowds.sh, for a process with the project's own settings; PORT
# is callers or peers.
set -euo pipefail
. "$(dirname "$0")/../process/cluster.sh"
. "$(dirname "$0")/crowd.sh"
extra_node_settings="io_threads = 16" # requests are decoded on as many threads at a time
extra_settings="
[limits]
memory_mb = $machine_mb
max_fds = $machine_fds"

# A job of COUNT tasks with payloads of BYTES; KEY_FIELDS are JSON.
write_job()
{
    local task
    task="{\"payload\":\"$(head -c "$2" /dev/zero | tr '\0' x)\"}"
    printf '{"organisation":"north","template":"quote",%s,"tasks":[%s]}' "$3" "$(repeat_text "$1" "$task")"
}
write_request()
{
    local key
    key="\"key\":\"################\",\"issued_at\":$(now_ms)"
    case $1 in
        malformed_jobs) write_job 300 24000 '"key":"no key"' ;;
        large_payloads) write_job 300 24000 "$key" ;;
        payload_jobs) write_job 300 1000 "$key" ;;
        small_payloads) write_job 310 1 "$key" ;;
    esac >"$run_dir/body"
    write_http_request /v1/jobs "$run_dir/body" 'Host: x'
    organisations=south # of the ordinary callers; the crowd is of another one
}
ordinary_request()
{
    start_load --jobs=1 --rate=1 --deadline-ms=8000
    wait_load && [ "$(load_summary_value complete)" = 1 ] && return 0
    answer=$(tail -n 1 "$run_dir/load.txt")
    return 1
}

start_cluster 1 1 --backends=4
address=${caller_address[e-1]}
[ "$1" = callers ] || address=${peer_address[e-1]}
shift
for crowd in "$@"; do
    hold_crowd "$crowd" "${address#*:}" e-1
done
