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
        long_announced) echo announced 100 30000000 2000000 ;; # 200 MB to the port of the peer links
        *) fail "unknown crowd $1" ;;
    esac
}

open_files() { find "/proc/$1/fd" -mindepth 1 2>/dev/null | wc -l; }
memory_kb() { sed -n "s/^$2:[^0-9]*\([0-9]*\) kB/\1/p" "/proc/$1/status"; }

# hold_crowd CROWD PORT PROCESS: sends the crowd, checks the bounds of the process while the crowd is in place, then runs
# ordinary_request, which must succeed while the crowd is still there and once it has gone.
hold_crowd()
{
    local crowd=$1 port=$2 pid=${pids[$3]} most_files=0 files failures=() arguments
    read -ra arguments <<<"$(crowd_of "$crowd")"
    "$bin/hostile_client" "${arguments[0]}" "$port" "${arguments[@]:1}" >"$run_dir/crowd.txt" 2>&1 &
    pids[crowd]=$!
    for _ in $(seq 300); do
        files=$(open_files "$pid")
        most_files=$((files > most_files ? files : most_files))
        ! grep -q "in place" "$run_dir/crowd.txt" || break
        kill -0 "${pids[crowd]}" 2>/dev/null || fail "the crowd ended: $(cat "$run_dir/crowd.txt")"
        sleep 0.1
    done
    grep -q "in place" "$run_dir/crowd.txt" || fail "the crowd is not in place"
    ordinary_request || failures+=("no ordinary request is answered beside the crowd")
    files=$(open_files "$pid")
    most_files=$((files > most_files ? files : most_files))
    kill -KILL "${pids[crowd]}"
    wait "${pids[crowd]}" 2>/dev/null || true
    unset 'pids[crowd]'
    kill -0 "$pid" 2>/dev/null || fail "crowd=$crowd: the process has ended: $(tail -n 3 "$run_dir/$3.log")"
    ordinary_request || failures+=("no ordinary request is answered after the crowd")
    local peak_kb
    peak_kb=$(memory_kb "$pid" VmHWM)
    echo "crowd=$crowd port=$port peak_kb=$peak_kb now_kb=$(memory_kb "$pid" VmRSS) most_files=$most_files" \
        "$(cat "$run_dir/crowd.txt")"
    [ "$peak_kb" -lt $((machine_mb * 1024)) ] || failures+=("the memory of the process exceeded $machine_mb MB")
    [ "$most_files" -le "$machine_fds" ] || failures+=("the process had more than $machine_fds descriptors open")
    [ ${#failures[@]} = 0 ] || fail "crowd=$crowd: $(IFS=';'; echo "${failures[*]}")"
}
