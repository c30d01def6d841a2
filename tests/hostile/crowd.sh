# Crowds of hostile connections against one process, and the bounds that the process must keep; sourced by the
# tests after tests/process/cluster.sh.
# shellcheck shell=bash

# The smallest machine of a deployment. The bound on descriptors is lower than that of any deployment, so that fewer
# connections show a missing bound.
machine_mb=120
machine_fds=1024

# Sizes of the crowds: 2,200 connections are over the 2,000 that a process accepts at most, 1,500 are over machine_fds.
# 800 bodies of 290,000 or 200,000 bytes (below the limit of one request) take 232 or 160 MB, which is over machine_mb.
crowd_of()
{
    case $1 in
        large_chunks) echo chunked 800 290000 14500 ;;
        small_chunks) echo chunked 800 200000 8 ;;
        announced) echo announced 1500 1000000000 1000 ;;
        reserved) echo announced 1500 262144 1 ;;
        oversized) echo whole 1500 1000000 10000 ;;
        slow_header) echo header 2200 0 0 ;;
        idle) echo idle 2200 0 0 ;;
        unread) echo unread 1500 200000 0 ;;
        large_bodies) echo chunked 200 3900000 10000 ;;    # for a limit of 8 MiB
        frames) echo frame 150 4000000 10000 ;;            # 600 MB, each below the limit of a peer link
        # Whole requests that write_request() of the test describes, each within the limits of one request.
        wide_jobs) echo requests 300 ;;
        more_wide_jobs) echo requests 2200 ;;
        long_specs) echo requests 4000 ;;
        many_steps) echo requests 800 ;;
        malformed_jobs | large_payloads) echo requests 300 ;;
        weightless_jobs) echo requests 600 ;;
        payload_jobs) echo requests 1000 ;;
        small_payloads) echo requests 1500 ;;
        long_announced) echo announced 100 30000000 2000000 ;; # 200 MB to the port of the peer links
        *) fail "unknown crowd $1" ;;
    esac
}

open_files() { find "/proc/$1/fd" -mindepth 1 2>/dev/null | wc -l; }
memory_kb() { sed -n "s/^$2:[^0-9]*\([0-9]*\) kB/\1/p" "/proc/$1/status"; }

# write_http_request PATH BODY_FILE HEADER...: writes a request to the file that a crowd sends.
write_http_request()
{
    printf 'POST %s HTTP/1.1\r\nContent-Length: %s\r\n' "$1" "$(stat -c %s "$2")" >"$run_dir/request"
    printf '%s\r\n' "${@:3}" '' >>"$run_dir/request"
    cat "$2" >>"$run_dir/request"
}

# repeat_text COUNT TEXT: prints TEXT COUNT times, separated by commas.
repeat_text()
{
    local i
    printf '%s' "$2"
    for ((i = 1; i < $1; i++)); do printf ',%s' "$2"; done
}

# start_crowd NAME PORT ARGUMENT...: starts a client of the crowd; its output goes to $run_dir/NAME.txt.
start_crowd()
{
    local name=$1 port=$2
    shift 2
    "$bin/hostile_client" "$1" "$port" "${@:2}" >"$run_dir/$name.txt" 2>&1 &
    pids[$name]=$!
}

# hold_crowd CROWD (PORT PROCESS)...: sends the crowd to each port, checks the bounds of each process while the crowd is in
# place, then runs ordinary_request, which must succeed while the crowd is still there and once it has gone. If it fails, it
# sets answer for the message.
hold_crowd()
{
    local crowd=$1 arguments ports=() names=() i name pid files peak_kb failures=() clients=()
    local -A most_files=()
    shift
    while [ $# -gt 0 ]; do
        ports+=("$1")
        names+=("$2")
        shift 2
    done
    read -ra arguments <<<"$(crowd_of "$crowd")"
    if [ "${arguments[0]}" = requests ]; then
        write_request "$crowd"
        arguments+=("$run_dir/request")
    fi
    count_files()
    {
        for name in "${names[@]}"; do
            files=$(open_files "${pids[$name]}")
            [ "$files" -le "${most_files[$name]:-0}" ] || most_files[$name]=$files
        done
    }
    in_place()
    {
        local client
        for client in "${clients[@]}"; do grep -q "in place" "$run_dir/$client.txt" || return 1; done
    }
    for i in "${!ports[@]}"; do
        clients+=("crowd$i")
        start_crowd "crowd$i" "${ports[$i]}" "${arguments[@]}"
    done
    for _ in $(seq 300); do
        count_files
        ! in_place || break
        for i in "${clients[@]}"; do kill -0 "${pids[$i]}" 2>/dev/null || fail "the crowd ended: $(cat "$run_dir/$i.txt")"; done
        sleep 0.1
    done
    in_place || fail "the crowd is not in place"
    ordinary_request || failures+=("no ordinary request is answered beside the crowd: ${answer:-}")
    count_files
    for i in "${clients[@]}"; do
        kill -KILL "${pids[$i]}"
        wait "${pids[$i]}" 2>/dev/null || true
        unset "pids[$i]"
    done
    for name in "${names[@]}"; do
        kill -0 "${pids[$name]}" 2>/dev/null || fail "crowd=$crowd: $name has ended: $(tail -n 3 "$run_dir/$name.log")"
    done
    ordinary_request || failures+=("no ordinary request is answered after the crowd: ${answer:-}")
    for i in "${!names[@]}"; do
        name=${names[$i]}
        pid=${pids[$name]}
        peak_kb=$(memory_kb "$pid" VmHWM)
        echo "crowd=$crowd process=$name port=${ports[$i]} peak_kb=$peak_kb now_kb=$(memory_kb "$pid" VmRSS)" \
            "most_files=${most_files[$name]} $(cat "$run_dir/crowd$i.txt")"
        [ "$peak_kb" -lt $((machine_mb * 1024)) ] || failures+=("the memory of $name exceeded $machine_mb MB")
        [ "${most_files[$name]}" -le "$machine_fds" ] || failures+=("$name had more than $machine_fds descriptors open")
    done
    [ ${#failures[@]} = 0 ] || fail "crowd=$crowd: $(IFS=';'; echo "${failures[*]}")"
}
