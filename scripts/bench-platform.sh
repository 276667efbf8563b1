#!/usr/bin/env bash
# Measures the latency that an entry on the users' platform adds to a request, with
# real processes on loopback: one endpoint that responds immediately, directly and
# through one entry on one core. Writes to out/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/measure ./cmd/measure
bin=bin
dir=$(mktemp -d)
mkdir -p out
pids=()
stop_all() { kill "${pids[@]}" 2>/dev/null || true; wait "${pids[@]}" 2>/dev/null || true; rm -rf "$dir"; }
trap stop_all EXIT
start() { local log=$1; shift; "$@" >"$dir/$log.log" 2>&1 & pids+=($!); last=$!; }

mapfile -t p < <($bin/standin ports 5)
store=127.0.0.1:${p[0]} desk=127.0.0.1:${p[1]} entry=127.0.0.1:${p[2]}
start store $bin/standin rowstore --address "$store"
start desk $bin/standin worker --name desk --address "$desk" --work 0
put() { $bin/standin call PUT "http://$store/rows/$1" >/dev/null; }
for _ in $(seq 50); do printf '{}' | put bench/up 2>/dev/null && break; sleep 0.1; done
put op/config <<'JSON'
{"version":1,"routes":[{"name":"look","host":"bench.example","path_prefix":"/look/","route_type":"safe","timeout_ms":5000,"target_latency_ms":400,"priority":1,"max_attempts":2,"service":"desk"}],
 "services":[{"name":"desk","max_connections":200}],"limits":{"max_body_bytes":65536},"tenants":[{"name":"bench","api_keys":["bench-key"]}]}
JSON
printf '{"service":"desk","address":"%s","zone":"a","slots":64,"state":"ready","born":1}' "$desk" | put servers/desk
cat >"$dir/entry.toml" <<TOML
role = "entry"
instance = "entry"
failureDomain = "a"
callerAddress = "$entry"
peerAddress = "127.0.0.1:${p[3]}"
operatorAddress = "127.0.0.1:${p[4]}"
logLevel = "${LOG_LEVEL:-info}"
seeds = []
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
start entry env GOMAXPROCS=1 $bin/cicadareel entry --settings "$dir/entry.toml"; process=$last
for _ in $(seq 100); do $bin/standin call GET "http://127.0.0.1:${p[4]}/readyz" </dev/null >/dev/null 2>&1 && break; sleep 0.1; done

path() { $bin/measure path --host bench.example --header X-Api-Key:bench-key --header X-Attempt-Id:b --callers "$1" --length 4s "http://$2/look/x"; }
{
for callers in 1 16; do
  echo "== $callers callers"
  echo "direct:  $(path $callers "$desk")"
  a=$($bin/measure process "$process")
  echo "through: $(path $callers "$entry")"
  echo "entry (pid, ms, KB) before: $a, after: $($bin/measure process "$process")"
done
} | tee out/path-platform.txt
