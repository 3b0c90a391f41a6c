#!/usr/bin/env bash
# Builds teaselreach, starts six daemons in three regions with two services behind them, sends
# requests of two client accounts, withdraws a key and stops everything again.
# Logs of a failed run stay in the folder named at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
standins=$build/tests/standins
daemon=$build/src/daemon/teaselreachd
tool=$build/src/tool/teaselreach

store=127.0.9.1:7100
vm_list=127.0.9.2:7200
caller_port=7080
control_port=7081
# VM, address, availability zone, region
entry_vms=("entry-1 127.0.1.1 az-1 region-1" "entry-2 127.0.1.2 az-2 region-1"
    "entry-3 127.0.2.1 az-3 region-2" "entry-4 127.0.2.2 az-4 region-2"
    "entry-5 127.0.3.1 az-5 region-3" "entry-6 127.0.3.2 az-6 region-3")
# upstream, address, port, service, availability zone, region
upstreams=("slot-1 127.0.1.11 7300 slot-desk az-1 region-1"
    "slot-2 127.0.2.11 7300 slot-desk az-3 region-2"
    "slot-3 127.0.3.11 7300 slot-desk az-5 region-3"
    "crew-1 127.0.1.12 7400 crew-desk az-1 region-1"
    "crew-2 127.0.2.12 7400 crew-desk az-3 region-2"
    "crew-3 127.0.3.12 7400 crew-desk az-5 region-3")

upstream_options=()
clinic_rate=100
if [ "${MEASURE:-0}" = 1 ]; then
    # Short work in many slots, so that the upstream's queue does not hide what the daemon adds.
    upstream_options=(--service_ms 1 --slots 64)
    clinic_rate=1000
fi

work=$(mktemp -d "${TMPDIR:-/tmp}/teaselreach-demo.XXXXXX")
daemon_pids=()
# cleanup() can run inside a command whose output is redirected.
exec 3>&1 4>&2

say() { printf '\n== %s\n' "$*"; }
fail() { printf 'demo: %s\n' "$*" >&2; exit 1; }
now_ms() { date +%s%3N; }

# Stops processes by id: SIGTERM, at most 15 s of waiting, then SIGKILL.
stop_all() {
    local pid end=$((SECONDS + 15))
    for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "$@"; do
        while kill -0 "$pid" 2>/dev/null && [ $SECONDS -lt $end ]; do sleep 0.05; done
        if kill -0 "$pid" 2>/dev/null; then
            printf 'demo: process %s did not stop, killing it\n' "$pid" >&2
            kill -KILL "$pid" 2>/dev/null || true
        fi
        wait "$pid" 2>/dev/null || true
    done
}

cleanup() {
    local status=$?
    # A second Ctrl-C must not leave processes behind.
    trap '' INT TERM
    trap - EXIT
    exec 1>&3 2>&4
    stop_all "${daemon_pids[@]}"
    # Includes a process that was started just before a signal and is in no list yet.
    # shellcheck disable=SC2046
    stop_all $(jobs -p)
    if [ $status -eq 0 ]; then
        rm -rf "$work"
        say "stopped everything"
    else
        printf 'demo: failed with status %s, logs are in %s\n' "$status" "$work" >&2
    fi
    exit $status
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# wait_until SECONDS WHAT COMMAND...: polls the command until it succeeds or the time is over.
wait_until() {
    local end=$((SECONDS + $1)) what=$2
    shift 2
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -lt $end ] || fail "$what: not within the time allowed"
        sleep 0.05
    done
}

# start_standin NAME PROGRAM OPTIONS...
start_standin() {
    local name=$1 program=$2
    shift 2
    "$standins/$program" "$@" >"$work/$name.log" 2>&1 &
    wait_until 10 "$name starts" grep -q '^ready' "$work/$name.log"
}

# The calls of the command-line tool are only in the following four functions.
run_tool() { "$tool" --store "http://$store" --vm_list "http://$vm_list" "$@"; }
# create KIND ID FIELD=VALUE...
create() { run_tool "$1" create "${@:2}" >>"$work/tool.log"; }
# create_key ID ACCOUNT: prints the key, which the tool shows only once.
create_key() {
    local key
    key=$(run_tool key create "$1" "account=$2" \
        | sed -n 's/^key, shown only now: //p')
    [ -n "$key" ] || fail "the tool printed no key for $1"
    printf '%s' "$key"
}
withdraw_key() { run_tool key withdraw "$1" >>"$work/tool.log"; }

write_settings() {
    local id=$1 address=$2 zone=$3 region=$4
    cat >"$work/$id.yaml" <<EOF
vm: {id: $id, address: $address, availability_zone: $zone, region: $region}
listen: {caller_port: $caller_port, control_port: $control_port}
store: {endpoints: ["$store"]}
vm_list: {endpoint: "$vm_list"}
shutdown: {entry_hold_s: 1}
EOF
}

vm_list_json() {
    local separator="" id address port service zone region
    printf '{"vms":['
    while read -r id address zone region; do
        printf '%s{"id":"%s","address":"%s","role":"entry","availability_zone":"%s",' \
            "$separator" "$id" "$address" "$zone"
        printf '"region":"%s","state":"live","caller_port":%s,"control_port":%s}' \
            "$region" $caller_port $control_port
        separator=,
    done < <(printf '%s\n' "${entry_vms[@]}")
    while read -r id address port service zone region; do
        printf ',{"id":"%s","address":"%s","role":"upstream","service":"%s",' \
            "$id" "$address" "$service"
        printf '"availability_zone":"%s","region":"%s","state":"live","port":%s}' \
            "$zone" "$region" "$port"
    done < <(printf '%s\n' "${upstreams[@]}")
    printf ']}'
}

# request KEY METHOD URL [BODY]: prints request, status and body; sets $status and $answer.
request() {
    local key=$1 method=$2 url=$3
    local options=(-sS -m 5 -X "$method" -H "Authorization: Bearer $key"
        -H 'Content-Type: application/json' -w '\n%{http_code}')
    [ $# -lt 4 ] || options+=(-d "$4")
    answer=$(curl "${options[@]}" "$url") || fail "$method $url: no answer"
    status=${answer##*$'\n'}
    answer=${answer%$'\n'*}
    answer=${answer%$'\n'}
    printf '%s %s\n  %s %s\n' "$method" "$url" "$status" "$answer"
}

# expect STATUS ARGUMENTS OF request...
expect() {
    local expected=$1
    shift
    request "$@"
    [ "$status" = "$expected" ] || fail "expected status $expected, got $status"
    [[ $answer != *"$1"* ]] || fail "the answer contains the key"
}

# has_status STATUS KEY URL: without output, for wait_until.
has_status() {
    [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $2" "$3")" = "$1" ]
}

# executions ID: how often the upstreams of all services ran the request.
executions() {
    local address port total=0 count
    while read -r _ address port _; do
        count=$(curl -sf -m 5 "http://$address:$port/admin/executions?request_id=$1" \
            | grep -oE '[0-9]+')
        total=$((total + count))
    done < <(printf '%s\n' "${upstreams[@]}")
    echo "$total"
}

say "installing what is missing and building"
scripts/install_packages.sh
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" --target kv_store vm_list upstream teaselreachd teaselreach added_latency_bench

say "starting the store, the VM list and ${#upstreams[@]} upstreams"
start_standin store kv_store --address "${store%:*}" --port "${store#*:}"
start_standin vm_list vm_list --address "${vm_list%:*}" --port "${vm_list#*:}"
for line in "${upstreams[@]}"; do
    read -r id address port _ <<<"$line"
    start_standin "$id" upstream --address "$address" --port "$port" --name "$id" \
        "${upstream_options[@]}"
done
vm_list_json | curl -sSf -m 5 -X PUT --data-binary @- "http://$vm_list/admin/vms"

say "starting ${#entry_vms[@]} daemons"
for line in "${entry_vms[@]}"; do
    read -r id address zone region <<<"$line"
    write_settings "$id" "$address" "$zone" "$region"
    "$daemon" --settings "$work/$id.yaml" >"$work/$id.log" 2>&1 &
    daemon_pids+=($!)
done
for line in "${entry_vms[@]}"; do
    read -r id address _ <<<"$line"
    wait_until 20 "$id starts" curl -sf -m 2 "http://$address:$control_port/health"
done

say "writing the configuration"
create service slot-desk slots_per_upstream=2
create service crew-desk slots_per_upstream=2
create route slot-lookup path_prefix=/slots methods=GET service=slot-desk idempotent=true
create route slot-booking path_prefix=/slots methods=POST service=slot-desk class=urgent
create route crew-lookup path_prefix=/crews methods=GET service=crew-desk idempotent=true \
    class=deferrable
create route crew-booking path_prefix=/crews methods=POST service=crew-desk class=urgent
create objective slot-answers service=slot-desk target=0.99 latency_ms=500
create account bakery routes=slot-lookup,slot-booking
create account clinic routes=slot-lookup,slot-booking,crew-lookup,crew-booking
create limit bakery rate_per_second=20 burst=20
create limit clinic rate_per_second=$clinic_rate burst=$clinic_rate
bakery_key=$(create_key bakery-1 bakery)
clinic_key=$(create_key clinic-1 clinic)
cat "$work/tool.log"

for line in "${entry_vms[@]}"; do
    read -r id address _ <<<"$line"
    wait_until 20 "$id has the configuration" \
        has_status 200 "$clinic_key" "http://$address:$caller_port/slots"
    echo "$id serves on $address:$caller_port"
done

say "entry addresses for account bakery in az-3"
expect 200 "$bakery_key" GET "http://127.0.1.1:$caller_port/.teaselreach/entry?zone=az-3"
entry=$(grep -oE '"address":"[^"]+"' <<<"$answer" | head -n 1 | cut -d '"' -f 4) \
    || fail "the answer names no entry address"
base=http://$entry:$caller_port

# The homes of a new limit start without tokens and hold back for one loan lifetime.
wait_until 10 "the limit of account bakery has tokens" has_status 200 "$bakery_key" "$base/slots"

say "lookups and bookings"
expect 200 "$bakery_key" GET "$base/slots?day=monday"
expect 200 "$bakery_key" POST "$base/slots" '{"slot":"monday-9","name":"bakery"}'
request_id=$(grep -oE '"x-teaselreach-request-id":"[^"]+"' <<<"$answer" | cut -d '"' -f 4) \
    || fail "the upstream saw no request id"
count=$(executions "$request_id")
echo "the booking ran $count time(s)"
[ "$count" = 1 ] || fail "the booking must run exactly once"
expect 200 "$clinic_key" GET "$base/crews?day=monday"
expect 200 "$clinic_key" POST "$base/crews" '{"crew":"blue","name":"clinic"}'

say "refusals"
expect 403 "$bakery_key" GET "$base/crews"
expect 401 "not-a-key-of-anyone" GET "$base/slots"
expect 404 "$bakery_key" GET "$base/parking"

say "what the fleet tells its operators"
run_tool status
run_tool explain account bakery
run_tool report burn

say "withdrawing the key of account bakery"
withdraw_key bakery-1
started=$(now_ms)
for line in "${entry_vms[@]}"; do
    read -r id address _ <<<"$line"
    wait_until 10 "$id refuses the withdrawn key" \
        has_status 401 "$bakery_key" "http://$address:$caller_port/slots"
done
echo "refused on all VMs $(($(now_ms) - started)) ms after the tool returned"
expect 401 "$bakery_key" GET "$base/slots"
expect 200 "$clinic_key" GET "$base/slots"

# With MEASURE=1: time added by a daemon, then memory and processor time of idle daemons.
measure() {
    local pid ticks_before ticks_after seconds=10 hertz entry missed=0
    say "measuring the time that a daemon adds"
    # As callers do: the first entry address, which is a home of the account's limit.
    entry=$(curl -sf -m 5 -H "Authorization: Bearer $clinic_key" \
        "http://127.0.1.1:$caller_port/.teaselreach/entry" \
        | grep -oE '"address":"[^"]+"' | head -n 1 | cut -d '"' -f 4)
    "$build/bench/added_latency_bench" --upstream "${entry%.*}.11:7300" \
        --daemon "$entry:$caller_port" --key "$clinic_key" --path /slots || missed=1
    say "measuring idle daemons for $seconds s"
    hertz=$(getconf CLK_TCK)
    for pid in "${daemon_pids[@]}"; do
        ticks_before=$(awk '{print $14 + $15}' "/proc/$pid/stat")
        sleep "$seconds"
        ticks_after=$(awk '{print $14 + $15}' "/proc/$pid/stat")
        awk -v pid="$pid" -v ticks=$((ticks_after - ticks_before)) -v s="$seconds" -v hz="$hertz" \
            '/^VmRSS/ {printf "process %s: %.1f MB resident, %.2f%% of a core\n", pid, $2 / 1024, \
                100 * ticks / hz / s}' "/proc/$pid/status"
        [ "$pid" != "${daemon_pids[1]}" ] || break
    done
    [ $missed = 0 ] || fail "a bound was missed"
}
if [ "${MEASURE:-0}" = 1 ]; then measure; fi

say "stopping"
