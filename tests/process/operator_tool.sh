#!/usr/bin/env bash
# Guards the operator's only means of control: exit codes, conflicts, lost responses and outages of the log service,
# against the stand-ins and without entry VMs.
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

# Runs COMMAND of the tool; fails unless it ends with exit code CODE. Output is in $run_dir/out and $run_dir/err.
tool()
{
    local expected=$1 command=$2 code=0
    shift 2
    "$bin/clementinelift-ctl" "$command" --config="$run_dir/e-1.ini" "$@" >"$run_dir/out" 2>"$run_dir/err" || code=$?
    [ "$code" -eq "$expected" ] || fail "$command $* ended with $code, expected $expected: $(cat "$run_dir/out" "$run_dir/err")"
}
publish() { tool "$1" publish --no-wait --json "${@:2}"; }
expect() { grep -q -- "$1" "$run_dir/out" "$run_dir/err" || fail "no \"$1\" in: $(cat "$run_dir/out" "$run_dir/err")"; }
records() { tool 0 history --json && grep -c '"change_id"' "$run_dir/out"; }
write_entry() { printf '[template a]\nrun_ms = %s\n' "$1" >"$run_dir/a.ini"; }

# Command line and findings: nothing is sent.
"$bin/clementinelift-ctl" --version >"$run_dir/out"
expect "clementinelift-ctl [0-9]"
"$bin/clementinelift-ctl" --help >"$run_dir/out"
expect "Exit codes:"
tool 2 publish
tool 2 keys --count=0 a
write_entry x
tool 1 check "$run_dir/a.ini"
expect "a.ini:2: template a.run_ms"
publish 1 "$run_dir/a.ini"
publish 1 "$run_dir/missing.ini"

# A change is accepted once, an equal one not again.
write_entry 5
tool 8 diff "$run_dir/a.ini"
publish 0 --author=anna "$run_dir/a.ini"
expect '"result": "accepted"'
publish 0 "$run_dir/a.ini"
expect '"result": "unchanged"'
tool 0 diff "$run_dir/a.ini"
[ "$(records)" -eq 1 ] || fail "an unchanged entry was appended"

# An operator who has not seen a newer version is told whose change won.
write_entry 6
publish 0 --author=bela --based-on=1 "$run_dir/a.ini"
write_entry 7
publish 3 --author=cyril --based-on=1 "$run_dir/a.ini"
expect '"author": "bela"'

# Appends without response are found in the log and not repeated.
control '{"op": "log_lost_answers", "share": 1, "for_ms": 60000}'
before=$(records)
publish 0 "$run_dir/a.ini"
[ "$(records)" -eq $((before + 1)) ] || fail "the change was appended more than once"
control '{"op": "log_lost_answers", "share": 0, "for_ms": 1}'

# A short outage is waited for, a long one is reported.
control '{"op": "log_outage", "for_ms": 700}'
write_entry 8
publish 0 "$run_dir/a.ini"
control '{"op": "log_outage", "for_ms": 60000}'
write_entry 9
publish 4 --timeout=1 "$run_dir/a.ini"
control '{"op": "log_outage", "for_ms": 0}'

# What show prints can be published; a deletion is a change.
tool 0 show template/a
expect "run_ms = 8"
cp "$run_dir/out" "$run_dir/shown.ini"
tool 0 check "$run_dir/shown.ini"
publish 0 --delete=template/a
tool 0 show --json
expect '"deleted": true'

# Entry VMs that do not answer are named.
tool 7 status
expect "${caller_address[e-1]}"
write_entry 10
tool 6 publish --timeout=1 "$run_dir/a.ini"
expect "not yet in force on e-1"
echo "operator tool: all exit codes as documented"
