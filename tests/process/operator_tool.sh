#!/usr/bin/env bash
# Guards against wrong exit codes and output of clementinelift-ctl on conflicts, lost responses and outages of the log
# service. Runs against the stand-ins, without entry VMs.
set -euo pipefail
source "$(dirname "$0")/cluster.sh"

run_dir=$(mktemp -d)
trap stop_all EXIT
mapfile -t ports < <(free_ports 2)
entry_names=(e-1)
caller_address[e-1]=127.0.0.1:${ports[0]}
peer_address[e-1]=127.0.0.1:${ports[1]}
zone_of[e-1]=z1
"$bin/clementinelift-standins" serve --port-file="$run_dir/port" --backends=1 --zones=1 \
    --entry="e-1,${peer_address[e-1]},z1" >"$run_dir/standins.log" 2>&1 &
pids[standins]=$!
wait_until 10 test -s "$run_dir/port" || fail "the stand-ins did not start"
platform=127.0.0.1:$(cat "$run_dir/port")
write_settings e-1

# run_tool CODE COMMAND ARGUMENT...: runs COMMAND of clementinelift-ctl and fails unless the exit code is CODE. The output is
# in $run_dir/out and $run_dir/err.
run_tool()
{
    local expected=$1 command=$2 code=0
    shift 2
    "$bin/clementinelift-ctl" "$command" --config="$run_dir/e-1.ini" "$@" >"$run_dir/out" 2>"$run_dir/err" || code=$?
    [ "$code" -eq "$expected" ] || fail "$command $* ended with $code, expected $expected: $(cat "$run_dir/out" "$run_dir/err")"
}
publish() { run_tool "$1" publish --no-wait --json "${@:2}"; }
expect_output() { grep -q -- "$1" "$run_dir/out" "$run_dir/err" || fail "expected \"$1\" in the output: $(cat "$run_dir/out" "$run_dir/err")"; }
change_count() { run_tool 0 history --json && grep -c '"change_id"' "$run_dir/out"; }
write_entry() { printf '[template a]\nrun_ms = %s\n' "$1" >"$run_dir/a.ini"; }

# Errors in the command line or in the entries are reported without a request to the log service.
"$bin/clementinelift-ctl" --version >"$run_dir/out"
expect_output "clementinelift-ctl [0-9]"
"$bin/clementinelift-ctl" --help >"$run_dir/out"
expect_output "Exit codes:"
run_tool 2 publish
run_tool 2 keys --count=0 a
write_entry x
run_tool 1 check "$run_dir/a.ini"
expect_output "a.ini:2: template a.run_ms"
publish 1 "$run_dir/a.ini"
publish 1 "$run_dir/missing.ini"

# A change is accepted once; publishing an equal entry again appends nothing.
write_entry 5
run_tool 8 diff "$run_dir/a.ini"
publish 0 --author=anna "$run_dir/a.ini"
expect_output '"result": "accepted"'
publish 0 "$run_dir/a.ini"
expect_output '"result": "unchanged"'
run_tool 0 diff "$run_dir/a.ini"
[ "$(change_count)" -eq 1 ] || fail "an unchanged entry was appended"

# A change based on an outdated version is rejected as a conflict, which names the author of the newer change.
write_entry 6
publish 0 --author=bela --based-on=1 "$run_dir/a.ini"
write_entry 7
publish 3 --author=cyril --based-on=1 "$run_dir/a.ini"
expect_output '"author": "bela"'

# When the response to an append is lost, the tool finds the change in the log and does not append it again.
control_stand_ins '{"op": "log_lost_answers", "share": 1, "for_ms": 60000}'
before=$(change_count)
publish 0 "$run_dir/a.ini"
[ "$(change_count)" -eq $((before + 1)) ] || fail "the change was appended more than once"
control_stand_ins '{"op": "log_lost_answers", "share": 0, "for_ms": 1}'

# The tool retries during a short outage of the log service and reports a long one.
control_stand_ins '{"op": "log_outage", "for_ms": 700}'
write_entry 8
publish 0 "$run_dir/a.ini"
control_stand_ins '{"op": "log_outage", "for_ms": 60000}'
write_entry 9
publish 4 --timeout=1 "$run_dir/a.ini"
control_stand_ins '{"op": "log_outage", "for_ms": 0}'

# The output of show passes check, and a deletion is published like any other change.
run_tool 0 show template/a
expect_output "run_ms = 8"
cp "$run_dir/out" "$run_dir/shown.ini"
run_tool 0 check "$run_dir/shown.ini"
publish 0 --delete=template/a
run_tool 0 show --json
expect_output '"deleted": true'

# The output names the entry VMs that do not answer.
run_tool 7 status
expect_output "${caller_address[e-1]}"
write_entry 10
run_tool 6 publish --timeout=1 "$run_dir/a.ini"
expect_output "not yet in force on e-1"
echo "operator tool: all exit codes as documented"
