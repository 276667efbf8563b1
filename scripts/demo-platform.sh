#!/usr/bin/env bash
# Starts stand-ins for the users' platform (a store, four ranks, three plain
# endpoints) and three entries as separate processes on loopback. Under load, it
# evacuates a failure domain, kills an entry, makes the store refuse all calls and
# changes the configuration. Exits 0 only if the audit finds no violation and an
# expert map was changed.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=bin
dir=$(mktemp -d)
pids=()
stop_all() {
  [ ${#pids[@]} -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
  [ ${#pids[@]} -eq 0 ] || wait "${pids[@]}" 2>/dev/null || true
  rm -rf "$dir"
}
trap stop_all EXIT
start() { local log=$1; shift; "$@" >"$dir/$log.log" 2>&1 & pids+=($!); }
mapfile -t ports < <($bin/standin ports 17)
next=0
take() { port=${ports[$next]}; next=$((next + 1)); }

take; store=127.0.0.1:$port
start store $bin/standin rowstore --address "$store"
put() { $bin/standin call PUT "http://$store/rows/$1" >/dev/null; }
for _ in $(seq 50); do printf '{}' | put demo/up 2>/dev/null && break; sleep 0.1; done

ranks=(); rank_args=()
for i in 0 1 2 3; do take; ranks+=("127.0.0.1:$port"); rank_args+=(--address "127.0.0.1:$port"); done
start ranks $bin/standin ranks --name rank "${rank_args[@]}"
desks=()
for i in 0 1 2; do
  take; desks+=("127.0.0.1:$port")
  start "desk-$i" $bin/standin worker --name "desk-$i" --address "127.0.0.1:$port"
done

route() {
  printf '{"name":"%s","host":"demo.example","path_prefix":"/%s/","route_type":"%s","timeout_ms":%s,"target_latency_ms":400,"target_gap_ms":120,"priority":1,"max_attempts":%s,"stream_resume":%s,"service":"%s"}' "$@"
}
configuration() {
  printf '{"version":%s,"routes":[%s,%s,%s],"services":[{"name":"models","max_connections":100,"engine":{"slots":12,"sets":3,"experts":24,"placements":8,"spare":2,"expert_mb":50,"link_mbps":44000,"form_ms":600,"report_lag_ms":200}},{"name":"desk","max_connections":100}],"limits":{"max_body_bytes":65536},"tenants":[{"name":"homeowners","api_keys":["demo-key"]}]}' \
    "$1" "$(route draft draft streaming 8000 2 true models)" "$(route look look safe "$2" 2 false desk)" "$(route book book unsafe "$2" 1 false desk)"
}
configuration 3 1000 | put op/config
for i in 0 1 2 3; do
  printf '{"service":"models","address":"%s","zone":"%s","slots":12,"state":"ready","version":"v1","cold_remaining_ms":0,"sequence":1,"born":1,"group":{"name":"g","epoch":1,"rank":%s,"state":"open"},"size":4}' "${ranks[$i]}" "$( ((i < 2)) && echo a || echo b)" "$i" | put "servers/rank-$i"
done
for i in 0 1 2; do
  printf '{"service":"desk","address":"%s","zone":"%s","slots":6,"state":"ready","version":"v1","cold_remaining_ms":0,"sequence":1,"born":1}' "${desks[$i]}" "$( ((i < 1)) && echo a || echo b)" | put "servers/desk-$i"
done

entries=(); peers=(); opses=()
for i in 0 1 2; do take; entries+=("127.0.0.1:$port"); take; peers+=("127.0.0.1:$port"); take; opses+=("127.0.0.1:$port"); done
for i in 0 1 2; do
  cat >"$dir/entry-$i.toml" <<TOML
role = "entry"
instance = "entry-$i"
failureDomain = "$( ((i < 2)) && echo a || echo b)"
callerAddress = "${entries[$i]}"
peerAddress = "${peers[$i]}"
operatorAddress = "${opses[$i]}"
seeds = ["${peers[0]}", "${peers[1]}"]
[deployment]
storeAddress = "$store"
retryRatio = 0.2
retrySlack = 88
retryWindowMs = 10000
coldFactor = 1.5
coldTolerance = 5
fencedCommands = true
graceMs = 8000
stallMs = 1500
[tls]
insecure = true
TOML
  $bin/cicadareel config check "$dir/entry-$i.toml"
  start "entry-$i" $bin/cicadareel entry --settings "$dir/entry-$i.toml"
done
victim=${pids[-1]}
for i in 0 1 2; do
  for _ in $(seq 100); do $bin/standin call GET "http://${opses[$i]}/readyz" </dev/null >/dev/null 2>&1 && break; sleep 0.1; done
done

$bin/cicadareel where --at "${opses[0]}" --host demo.example --account homeowners --parts a:10,own:5 --size 15,20 /draft/x

args=(--host demo.example --key demo-key --rate 60 --length 12s)
for a in "${entries[@]}"; do args+=(--entry "$a"); done
for a in "${desks[@]}"; do args+=(--endpoint "$a"); done
for a in "${ranks[@]}"; do args+=(--rank "$a"); done
$bin/standin callers "${args[@]}" &
callers=$!
sleep 2; echo "failure domain a is held"; printf '{}' | put op/evacuate/a
sleep 2; echo "an entry is killed"; kill -9 "$victim"
sleep 1; echo "the store refuses all calls"; $bin/standin call POST "http://$store/trouble" >/dev/null <<<'{"Status":503}'
sleep 2; echo "the store is back, with a new configuration"; $bin/standin call POST "http://$store/trouble" >/dev/null <<<'{}'
configuration 7 900 | put op/config
$bin/standin call DELETE "http://$store/rows/op/evacuate/a" >/dev/null </dev/null
wait "$callers"
[ "$($bin/standin call GET "http://${ranks[0]}/map" </dev/null | tr -d '[:space:]')" != 0 ] || { echo "no expert map was changed"; exit 1; }
echo "expert maps changed, and no step had two"
