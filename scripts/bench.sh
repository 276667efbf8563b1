#!/usr/bin/env bash
# Measures the latency that an entry and a sidecar add to a request, and the CPU time
# of each per request and per token, with real processes on loopback. Writes to out/.
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

mapfile -t p < <($bin/standin ports 20)
platform=127.0.0.1:${p[0]}
start platform $bin/standin platform --address "$platform"
key=$($bin/cicadareel keys operator anna --out "$dir")
$bin/cicadareel keys authority --out "$dir"
# settings NAME writes the settings of one process; role-specific lines come on stdin.
settings() {
  $bin/cicadareel keys certificate "$1" --out "$dir"
  { cat; echo "operatorKeys = [\"$key\"]
logLevel = \"warning\"
[platform]
tableAddress = \"$platform\"
objectAddress = \"$platform\"
instanceListAddress = \"$platform\"
[tls]
caFile = \"$dir/ca.pem\"
certFile = \"$dir/$1.pem\"
keyFile = \"$dir/$1.key\""; } >"$dir/$1.toml"
}
settings entry <<TOML
role = "entry"
instance = "entry"
failureDomain = "a"
callerAddress = "127.0.0.1:${p[1]}"
peerAddress = "127.0.0.1:${p[2]}"
operatorAddress = "127.0.0.1:${p[3]}"
TOML
settings operator <<TOML
role = "operator"
operatorName = "anna"
operatorKeyFile = "$dir/anna.operator.key"
seeds = ["127.0.0.1:${p[2]}"]
TOML
list="{\"name\":\"entry\",\"role\":\"entry\",\"failureDomain\":\"a\",\"peerAddress\":\"127.0.0.1:${p[2]}\",\"state\":\"live\"}"
{ echo 'version = 1
failureDomains = [{name="a"}]
groups = [{name="small", kind="application", coldLimit=512, warmLimit=512, warmAfter=0, queueLimit=512},
          {name="t50", kind="model", coldLimit=512, warmLimit=512, warmAfter=0, queueLimit=512},
          {name="paced", kind="model", coldLimit=512, warmLimit=512, warmAfter=0, queueLimit=512},
          {name="t200", kind="model", coldLimit=512, warmLimit=512, warmAfter=0, queueLimit=512}]'
  for g in small t50 t200 paced; do echo "[[endpoints]]
name = \"$g\"
group = \"$g\"
failureDomain = \"a\"
[[routes]]
path = \"/$g\"
group = \"$g\"
idempotent = true
priority = 5
timeout = \"30s\"
maxBodyBytes = 65536"; done
  echo "[[clientAccounts]]
name = \"bench\"
tokenHashes = [\"$(printf bench | sha256sum | cut -d' ' -f1)\"]
weight = 1"; } >"$dir/bundle.toml"
n=4
declare -A direct sidecar
for g in small t50 t200 paced; do
  at=127.0.0.1:${p[$n]} peer=127.0.0.1:${p[$((n + 1))]} ops=127.0.0.1:${p[$((n + 2))]}; n=$((n + 3))
  if [ $g = small ]; then
    start "$g" $bin/standin service --address "$at" --name "$g" --domain a --step 0 --cold-requests 0
  elif [ $g = paced ]; then
    start "$g" $bin/standin engine --address "$at" --name "$g" --domain a --tokens 100 --step 5ms --cold-requests 0
  else
    start "$g" $bin/standin engine --address "$at" --name "$g" --domain a --tokens "${g#t}" --step 0 --cold-requests 0
  fi
  settings "sidecar-$g" <<TOML
role = "sidecar"
instance = "sidecar-$g"
failureDomain = "a"
peerAddress = "$peer"
operatorAddress = "$ops"
endpoint = "$g"
endpointAddress = "$at"
TOML
  list+=",{\"name\":\"sidecar-$g\",\"role\":\"sidecar\",\"failureDomain\":\"a\",\"peerAddress\":\"$peer\",\"endpoint\":\"$g\",\"state\":\"live\"}"
  direct[$g]=$at
done
for _ in $(seq 50); do printf '[%s]' "$list" | $bin/standin call PUT "http://$platform/instances" >/dev/null 2>&1 && break; sleep 0.1; done
start entry env GOMAXPROCS=1 $bin/cicadareel entry --settings "$dir/entry.toml"; entry=$last
for g in small t50 t200 paced; do start "sidecar-$g" $bin/cicadareel sidecar --settings "$dir/sidecar-$g.toml"; sidecar[$g]=$last; done
export CICADAREEL_SETTINGS=$dir/operator.toml
$bin/cicadareel bundle sign "$dir/bundle.toml"
for _ in $(seq 20); do $bin/cicadareel bundle apply "$dir/bundle.toml" >/dev/null 2>&1 && break; sleep 0.5; done
for _ in $(seq 50); do [ "$($bin/cicadareel status --json | grep -c '"open": true')" -ge 4 ] && break; sleep 0.1; done

{
echo "idle for 10 s: CPU time in ms and resident memory in KB"
a=$($bin/measure process "$entry" "${sidecar[small]}"); sleep 10; b=$($bin/measure process "$entry" "${sidecar[small]}")
echo "entry, sidecar (pid, ms, KB) before:" $a; echo "entry, sidecar (pid, ms, KB) after: " $b
for g in small t50 t200 paced; do
  for callers in 1 64; do
    echo "== $g, $callers callers"
    echo "direct:  $($bin/measure path --callers $callers --length 4s "http://${direct[$g]}/$g")"
    a=$($bin/measure process "$entry" "${sidecar[$g]}")
    echo "through: $($bin/measure path --callers $callers --length 4s "http://127.0.0.1:${p[1]}/$g")"
    b=$($bin/measure process "$entry" "${sidecar[$g]}")
    echo "entry, sidecar (pid, ms, KB) before:" $a; echo "entry, sidecar (pid, ms, KB) after: " $b
  done
done
} | tee out/path.txt
$bin/measure expert-maps | tee out/expert-maps.txt
