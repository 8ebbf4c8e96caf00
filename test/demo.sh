#!/usr/bin/env bash
# Shows the main job on one process: edits the table, sends lookups, a push that
# may run at most once, and a gang; checks each answer; drains; exits 0 only if
# everything was right.
set -eu
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'kill "$pid" 2>/dev/null || true; rm -rf "$work"' EXIT

./bin/tackbeamd --standalone --listen 127.0.0.1:0 --record "$work/trace" >"$work/out" 2>"$work/log" &
pid=$!
for _ in $(seq 100); do
	grep -q 'is up at' "$work/out" && break
	sleep 0.1
done
TACKBEAM_NODE=$(sed -n 's/.* is up at \([^,]*\),.*/\1/p' "$work/out")
export TACKBEAM_NODE
[ -n "$TACKBEAM_NODE" ] || { cat "$work/log"; echo "demo: the node did not come up"; exit 1; }

say() { echo; echo "\$ tackbeam $*"; ./bin/tackbeam "$@"; }
fail() { echo "demo: $1"; exit 1; }

for _ in $(seq 100); do
	[ "$(./bin/tackbeam workers | grep -c ready)" = 50 ] && break
	sleep 0.1
done

say table set workspace/brno weight 2 --wait
say table set workload/stock-lookup class service
say table set workload/stock-lookup repeatable yes
say table set workload/price-push class batch
say table set workload/fitment-rebuild class gang
say table set workload/fitment-rebuild processors 30
say table show

for part in 'brake pad 42' 'oil filter 7' 'wiper 3'; do
	say lookup stock-lookup --workspace brno --check "$part"
done

say submit price-push --workspace brno --key monday --payload '{"run":0.05}' --wait 20 | tee "$work/push"
grep -q 'done, ran (ok)' "$work/push" || fail "the push did not run"
say submit price-push --workspace brno --key monday --payload '{"run":0.05}' --wait 20 >"$work/again"
[ "$(grep -o 'job j[0-9a-z]*' "$work/push")" = "$(grep -o 'job j[0-9a-z]*' "$work/again")" ] ||
	fail "the same key made another job"

say submit fitment-rebuild --workspace brno --tasks 40 --payload '{"run":0.2}' --wait 20 | tee "$work/gang"
grep -q 'done, ran (ok)' "$work/gang" || fail "the gang did not run"
[ "$(grep -c ' ok$' "$work/gang")" = 40 ] || fail "not all 40 tasks ran"

if say submit fitment-rebuild --workspace brno --processors 65 2>"$work/never"; then
	fail "a task that no worker can carry was accepted"
fi
cat "$work/never"

say load --workspace brno --service stock-lookup --batch price-push --lookups 50 --jobs 5 --time 1s | tee "$work/load"
grep -q 'errors map\[\]; not sent 0; wrong answers 0' "$work/load" || fail "the load met errors"

say jobs list
say nodes
say stats --watch --count 1
say drain node-1 --yes
wait "$pid" || fail "the node did not stop cleanly"
say replay "$work/trace"
echo
echo "demo: all answers were right"
