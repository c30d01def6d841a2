# Runs stand-ins and entry VMs as processes on loopback; sourced by scripts/demo, scripts/measure-cpu,
# scripts/measure-processes, platform/standins/fleet.sh and the tests.
#
# Every process runs in the background. Its process id is in pids[NAME]; when the shell exits, also after a failure, every
# process is killed by this id. Ports are chosen at random below the ephemeral port range and checked before use, so that
# parallel runs do not collide.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
bin=${BIN_DIR:-$root/build/bin}
run_dir=
platform=      # ip:port of the stand-ins
entry_names=() # e-1 e-2 ...
declare -A pids caller_address peer_address zone_of
organisations=north,south,west
templates=reorder:never,quote:allowed
seed=${SEED:-1} # of the stand-ins and the callers

now_ms() { date +%s%3N; }

fail()
{
    echo "failed: $*" >&2
    exit 1
}

# Prints COUNT free ports. A port that accepts a connection counts as in use.
free_ports()
{
    local count=$1 port
    while [ "$count" -gt 0 ]; do
        port=$((10000 + (RANDOM * 32768 + RANDOM) % 22000))
        [ $((port / 25 * 25)) != "${reserved_block:-0}" ] || continue # 25 ports of the stand-ins
        [ "$port" != "${metrics_port:-0}" ] || continue               # not in use yet
        if ! (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
            echo "$port"
            count=$((count - 1))
        fi
    done
}

# wait_until SECONDS COMMAND...: repeats COMMAND until it succeeds; fails after SECONDS.
wait_until()
{
    local deadline_ms=$(($(now_ms) + $1 * 1000))
    shift
    until "$@"; do
        [ "$(now_ms)" -lt "$deadline_ms" ] || return 1
        sleep 0.05
    done
}

process_ended() { ! kill -0 "$1" 2>/dev/null; }

# Waits until process NAME ends and kills it after STOP_SECONDS (default 10). Returns the exit code of the process.
wait_process()
{
    local name=$1 pid=${pids[$1]:-} code=0
    [ -n "$pid" ] || return 0
    wait_until "${STOP_SECONDS:-10}" process_ended "$pid" || kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || code=$?
    unset "pids[$name]"
    return $code
}

signal_process() { kill "-$2" "${pids[$1]}" || fail "cannot send SIG$2 to $1: the process has ended"; }

# Kills every process that this shell has started, without a drain of the entry VMs, and deletes the run directory
# unless KEEP_RUN_DIR is set.
stop_all()
{
    local name
    for name in "${!pids[@]}"; do
        kill -CONT "${pids[$name]}" 2>/dev/null || true
        kill -KILL "${pids[$name]}" 2>/dev/null || true
    done
    for name in "${!pids[@]}"; do
        wait "${pids[$name]}" 2>/dev/null || true
    done
    pids=()
    [ -n "${KEEP_RUN_DIR:-}" ] || [ -z "$run_dir" ] || rm -rf "$run_dir"
}

# Writes the settings file of entry VM NAME; the other entry VMs of the cluster are its peer seeds.
write_settings()
{
    local name=$1 other peer_seeds=() tool_entry_vms=()
    for other in "${entry_names[@]}"; do
        [ "$other" = "$name" ] || peer_seeds+=("$other@${peer_address[$other]}/${zone_of[$other]}")
        tool_entry_vms+=("$other@${caller_address[$other]}/${zone_of[$other]}")
    done
    cat >"$run_dir/$name.ini" <<SETTINGS
[node]
name = $name
zone = ${zone_of[$name]}
caller_address = ${caller_address[$name]}
peer_address = ${peer_address[$name]}
${extra_node_settings:-}

[peers]
secret = secret-of-a-test-cluster
seeds = $(IFS=,; echo "${peer_seeds[*]}")

[platform]
log_url = http://$platform
vm_list_url = http://$platform

[log]
level = ${LOG_LEVEL:-info}

[tool]
entry_vms = $(IFS=,; echo "${tool_entry_vms[*]}")
${extra_settings:-}
SETTINGS
}

start_entry_vm()
{
    "$bin/clementinelift" --config "$run_dir/$1.ini" >>"$run_dir/$1.log" 2>&1 &
    pids[$1]=$!
}

is_ready() { curl -sf -m 1 -o "$run_dir/ready" "http://${caller_address[$1]}/readyz"; }

wait_ready()
{
    local name
    for name in "$@"; do
        wait_until 15 is_ready "$name" || fail "$name is not ready: $(tail -n 3 "$run_dir/$name.log")"
    done
}

# Publishes the templates and organisations that the callers use.
publish_configuration()
{
    cat >"$run_dir/entries.ini" <<ENTRIES
[template reorder]
repeat = never
deadline_ms = 20000
run_ms = 250

[template quote]
repeat = allowed
deadline_ms = 20000
run_ms = 250

[organisation north]
concurrency = 2000
weight = 2

[organisation south]
concurrency = 2000

[organisation west]
concurrency = 2000
response_weight = 0.9
ENTRIES
    "$bin/clementinelift-ctl" publish --config="$run_dir/${entry_names[0]}.ini" --author=cluster "$run_dir/entries.ini" \
        >"$run_dir/publish.txt" 2>&1 || fail "publishing the configuration failed: $(cat "$run_dir/publish.txt")"
}

# start_cluster ZONES PER_ZONE ARGUMENT...: starts the stand-ins with the given arguments and PER_ZONE entry VMs in each of
# ZONES availability zones, waits until they are ready and publishes the configuration.
start_cluster()
{
    local zones=$1 per_zone=$2 ports zone i name entries=()
    shift 2
    run_dir=$(mktemp -d)
    trap stop_all EXIT
    mapfile -t ports < <(free_ports $((2 * zones * per_zone)))
    for ((zone = 1; zone <= zones; zone++)); do
        for ((i = 1; i <= per_zone; i++)); do
            name=e-$((${#entry_names[@]} + 1))
            caller_address[$name]=127.0.0.1:${ports[2 * ${#entry_names[@]}]}
            peer_address[$name]=127.0.0.1:${ports[2 * ${#entry_names[@]} + 1]}
            zone_of[$name]=z$zone
            entry_names+=("$name")
            entries+=("$name,${peer_address[$name]},z$zone")
        done
    done
    "$bin/clementinelift-standins" serve --port-file="$run_dir/port" --zones="$zones" \
        --seed="$seed" --entry="$(IFS=';'; echo "${entries[*]}")" "$@" >"$run_dir/standins.log" 2>&1 &
    pids[standins]=$!
    wait_until 10 test -s "$run_dir/port" || fail "the stand-ins did not start: $(cat "$run_dir/standins.log")"
    platform=127.0.0.1:$(cat "$run_dir/port")
    for name in "${entry_names[@]}"; do write_settings "$name"; done
    for name in "${entry_names[@]}"; do start_entry_vm "$name"; done
    wait_ready "${entry_names[@]}"
    publish_configuration
}

# Sends one command to the control endpoint of the stand-ins.
control_stand_ins()
{
    curl -sf -m 5 -o "$run_dir/control" -d "$1" "http://$platform/control" \
        || fail "the stand-ins did not accept the control command $1"
}

# Prints one counter of the stand-ins, for example /totals/busy.
stand_in_count() { "$bin/clementinelift-standins" counts --platform="$platform" | sed -n "s|^$1=||p"; }

# Prints the comma-separated caller addresses of the named entry VMs (default: all).
caller_addresses()
{
    local name list=()
    for name in "${@:-${entry_names[@]}}"; do list+=("${caller_address[$name]}"); done
    (IFS=,; echo "${list[*]}")
}

# Starts the callers with the given options; the report goes to $run_dir/load.txt.
start_load()
{
    "$bin/clementinelift-standins" load --platform="$platform" --to="$(caller_addresses)" --organisations="$organisations" \
        --templates="$templates" --seed="$seed" "$@" >"$run_dir/load.txt" 2>&1 &
    pids[load]=$!
}

# Waits for the callers. Returns their exit code.
wait_load() { STOP_SECONDS=${LOAD_SECONDS:-60} wait_process load; }

# Prints the value of NAME in the last line of the load report, which holds the totals.
load_summary_value() { tail -n 1 "$run_dir/load.txt" | tr ' ' '\n' | sed -n "s/^$1=//p"; }

# Prints the first value of NAME in the load report, for example cut.
load_report_value() { tr ' ' '\n' <"$run_dir/load.txt" | sed -n "s/^$1=//p" | head -n 1; }

# Waits for the callers; fails unless some job completed and the callers found no lost, doubled or partial job and no answer
# that denies the start of a task that has started (untrue effects).
require_clean_load()
{
    wait_load || { cat "$run_dir/load.txt" >&2; fail "load: $(tail -n 1 "$run_dir/load.txt")"; }
    [ "$(load_summary_value complete)" -gt 0 ] || { cat "$run_dir/load.txt" >&2; fail "no job completed"; }
    tail -n 1 "$run_dir/load.txt"
}

# Stops the named entry VMs gracefully; fails when one does not end with exit code 0.
require_graceful_stop()
{
    local name
    for name in "$@"; do signal_process "$name" TERM; done
    for name in "$@"; do
        wait_process "$name" || fail "$name ended with exit code $?: $(tail -n 3 "$run_dir/$name.log")"
    done
}

# kill_entry_vm_under_load TEMPLATE:REPEAT IMPATIENT: kills one of four entry VMs under a load of jobs of this template and
# restarts it. IMPATIENT is the share of callers that resubmit before they have an answer.
kill_entry_vm_under_load()
{
    templates=$1
    start_cluster 2 2 --backends=16
    start_load --jobs=320 --rate=40 --deadline-ms=6000 --resubmit-ms=7000 --impatient="$2"
    sleep 2
    signal_process e-2 KILL
    wait_process e-2 || true
    sleep 1
    start_entry_vm e-2
    require_clean_load
}
