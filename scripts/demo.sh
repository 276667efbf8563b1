#!/usr/bin/env bash
# Runs the Kavango example as separate processes on loopback: a stand-in for the
# platform, two entries and, for each endpoint, a stand-in and its sidecar. Under
# load, takes a failure domain out of service and returns it. Exits 0 only if all
# checks pass. KEEP=1 leaves the processes running and prints how to use them.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=bin
dir=$(mktemp -d)
pids=()
example=examples/kavango.toml

stop_all() {
  [ ${#pids[@]} -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
  [ ${#pids[@]} -eq 0 ] || wait "${pids[@]}" 2>/dev/null || true
  rm -rf "$dir"
}
[ "${KEEP:-}" = 1 ] || trap stop_all EXIT
start() { local log=$1; shift; "$@" >"$dir/$log.log" 2>&1 & pids+=($!); }

mapfile -t names < <(awk -F'"' '/^\[\[endpoints\]\]/{e=1} /^\[\[routes\]\]/{e=0} e&&/^name/{print $2}' $example)
mapfile -t domains < <(awk -F'"' '/^\[\[endpoints\]\]/{e=1} /^\[\[routes\]\]/{e=0} e&&/^failureDomain/{print $2}' $example)
mapfile -t ports < <($bin/standin ports $((3 * ${#names[@]} + 7)))
next=0
take() { port=${ports[$next]}; next=$((next + 1)); }

mkdir -p "$dir/keys"
operator_key=$($bin/cicadareel keys operator anna --out "$dir/keys")
$bin/cicadareel keys authority --out "$dir/keys"

take; platform=127.0.0.1:$port
start platform $bin/standin platform --address "$platform"

# common FILE ROLE NAME writes the settings of every role to FILE and creates a
# certificate for NAME.
common() {
  [ "$3" = operator ] || $bin/cicadareel keys certificate "$3" --out "$dir/keys"
  [ "$3" != operator ] || $bin/cicadareel keys certificate operator --out "$dir/keys"
  cat >"$1" <<TOML
role = "$2"
logLevel = "info"
operatorKeys = ["$operator_key"]
TOML
}
# tail_settings FILE NAME appends the platform's addresses and the TLS files of NAME.
tail_settings() {
  cat >>"$1" <<TOML
[platform]
tableAddress = "$platform"
objectAddress = "$platform"
instanceListAddress = "$platform"
[tls]
caFile = "$dir/keys/ca.pem"
certFile = "$dir/keys/$2.pem"
keyFile = "$dir/keys/$2.key"
TOML
}

instances=""
seeds=""
entries=()
entry_domains=(khomas-a khomas-b)
for i in 1 2; do
  take; caller=$port; take; peer=$port; take; ops=$port
  f=$dir/entry-$i.toml
  common "$f" entry "entry-$i"
  cat >>"$f" <<TOML
instance = "entry-$i"
failureDomain = "${entry_domains[$((i - 1))]}"
callerAddress = "127.0.0.1:$caller"
peerAddress = "127.0.0.1:$peer"
operatorAddress = "127.0.0.1:$ops"
TOML
  tail_settings "$f" "entry-$i"
  entries+=("http://127.0.0.1:$caller")
  seeds+="\"127.0.0.1:$peer\", "
  instances+="{\"name\":\"entry-$i\",\"role\":\"entry\",\"failureDomain\":\"${entry_domains[$((i - 1))]}\",\"peerAddress\":\"127.0.0.1:$peer\",\"state\":\"live\"},"
done
endpoint_addresses=()
for i in "${!names[@]}"; do
  name=${names[$i]}; domain=${domains[$i]}
  take; at=$port; take; peer=$port; take; ops=$port
  kind=(engine --load-lag 500ms); [[ $name == bookings-* ]] && kind=(service)
  start "$name" $bin/standin "${kind[@]}" --address "127.0.0.1:$at" --name "$name" --domain "$domain"
  endpoint_addresses+=("127.0.0.1:$at")
  f=$dir/sidecar-$name.toml
  common "$f" sidecar "sidecar-$name"
  cat >>"$f" <<TOML
instance = "sidecar-$name"
failureDomain = "$domain"
peerAddress = "127.0.0.1:$peer"
operatorAddress = "127.0.0.1:$ops"
endpoint = "$name"
endpointAddress = "127.0.0.1:$at"
TOML
  tail_settings "$f" "sidecar-$name"
  instances+="{\"name\":\"sidecar-$name\",\"role\":\"sidecar\",\"failureDomain\":\"$domain\",\"peerAddress\":\"127.0.0.1:$peer\",\"endpoint\":\"$name\",\"state\":\"live\"},"
done
common "$dir/operator.toml" operator operator
cat >>"$dir/operator.toml" <<TOML
operatorName = "anna"
operatorKeyFile = "$dir/keys/anna.operator.key"
seeds = [${seeds%, }]
TOML
tail_settings "$dir/operator.toml" operator

for _ in $(seq 50); do
  printf '[%s]' "${instances%,}" | $bin/standin call PUT "http://$platform/instances" >/dev/null 2>&1 && break
  sleep 0.1
done
for i in 1 2; do start "entry-$i" $bin/cicadareel entry --settings "$dir/entry-$i.toml"; done
for name in "${names[@]}"; do start "sidecar-$name" $bin/cicadareel sidecar --settings "$dir/sidecar-$name.toml"; done

export CICADAREEL_SETTINGS=$dir/operator.toml
cp $example "$dir/bundle.toml"
$bin/cicadareel bundle sign "$dir/bundle.toml"
for try in $(seq 20); do
  if $bin/cicadareel bundle apply "$dir/bundle.toml" 2>"$dir/apply.err"; then break; fi
  [ "$try" -lt 20 ] || { cat "$dir/apply.err"; exit 1; }
  sleep 0.5
done
ready() { $bin/cicadareel status --json | grep -c "\"open\": true" || true; }
for _ in $(seq 100); do [ "$(ready)" -ge ${#names[@]} ] && break; sleep 0.1; done
sleep 0.2

if [ "${KEEP:-}" = 1 ]; then
  cat <<TEXT
Running: ${#pids[@]} processes. Entries: ${entries[*]}
Settings, keys and logs: $dir
  export CICADAREEL_SETTINGS=$dir/operator.toml
  $bin/cicadareel status
  $bin/cicadareel order take-out khomas-b
  curl -N -H 'Authorization: Bearer demo-homeowners' -d 'upgrade a 3-phase board' ${entries[0]}/v1/drafts
Stop: kill ${pids[*]}
TEXT
  exit 0
fi

# load OPTION... sends requests through both entries.
load() {
  $bin/standin load --entry "${entries[0]}" --entry "${entries[1]}" \
    --token demo-windhoek-electricians --token demo-homeowners --token demo-municipal-inspectors \
    --job /v1/drafts --job 20 --job /v1/surveys --job keyed "$@"
}
# audit NAME COLD_LIMIT OPTION... audits the endpoints whose names start with NAME.
audit() {
  local args=() want=$1 limit=$2 i; shift 2
  for i in "${!names[@]}"; do
    [[ ${names[$i]} == $want* ]] && args+=(--endpoint "${endpoint_addresses[$i]}")
  done
  $bin/standin audit "${args[@]}" --cold-limit "$limit" "$@"
}
# audit_domain DOMAIN TIME checks that the endpoints of DOMAIN started no request
# after TIME.
audit_domain() {
  local args=() i
  for i in "${!names[@]}"; do
    [ "${domains[$i]}" = "$1" ] && args+=(--endpoint "${endpoint_addresses[$i]}")
  done
  $bin/standin audit "${args[@]}" --cold-limit 4 --idle-since "$2"
}

echo "a few requests:"
load --rate 5 --length 1s --seed 7
echo
echo "traffic while khomas-b is taken out and returned:"
load --rate 60 --length 12s --seed 8 >"$dir/load.out" &
loader=$!
failed=0
sleep 2
ordered=$(date +%s%N)
$bin/cicadareel order take-out khomas-b
limit=$(date -u -d "@$(((ordered + 4000000000) / 1000000000)).$(printf %09d $((ordered % 1000000000)))" +%Y-%m-%dT%H:%M:%S.%NZ)
sleep 5
audit_domain khomas-b "$limit" && echo "khomas-b got no new work later than 4 s after the order" || failed=1
$bin/cicadareel order return khomas-b
wait $loader || failed=1
cat "$dir/load.out"
audit drafter 2 || failed=1
audit bookings 4 || failed=1
$bin/cicadareel status >"$dir/status.out"
head -1 "$dir/status.out"
[ $failed -eq 0 ] || { echo "FAILED: a promise did not hold"; exit 1; }
echo "every answer was whole, every request ran once, and no cold endpoint had more than its cold limit"
