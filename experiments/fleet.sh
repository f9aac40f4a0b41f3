# Functions that start a fleet on loopback; sourced by the experiments.
#
# The caller sets routers (their number), policy (of routing), many (number of engines)
# and budget (limit in tokens) before.

bin="${CARGO_TARGET_DIR:-target}/release"
dir=$(mktemp -d)
declare -a pids=() router_pids=() engine_pids=() engines=()
stop() {
    trap - EXIT
    kill -TERM "${router_pids[@]}" "${pids[@]}" 2>/dev/null || true
    wait "${router_pids[@]}" "${pids[@]}" 2>/dev/null || true
    rm -rf "$dir"
}
trap stop EXIT

start() {
    local name=$1
    shift
    "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
    started=$!
    for _ in $(seq 200); do
        line=$(grep '^listening' "$dir/$name.out" || true)
        [ -n "$line" ] && break
        sleep 0.02
    done
    address=$(awk '{print $2}' <<<"$line")
    admin=$(awk '{print $4}' <<<"$line")
}

# Sets the model, step time, services, data centres and classes of a sample deployment.
choose_deployment() {
    case $deployment in
    waiharakeke) model=scenes step=4ms engines_default=10 service=poles
        centres=(depot-north depot-south civic-hall harbour-hall) ;;
    nairobi) model=riders step=6ms engines_default=20 service=entries
        centres=(nbo-a nbo-b nbo-c nbo-d) ;;
    *) echo "unknown deployment $deployment" >&2; exit 2 ;;
    esac
    classes=config/classes-$deployment.ini
    workspaces=$(sed -n 's/^\[workspace \(.*\)\]$/\1/p' "$classes")
    many=${many:-$engines_default}
}

# Starts all processes, applies the classes, and waits 3 s for the fleet to settle.
start_fleet() {
    hosts=""
    start platform "$bin/fake-platform"
    pids+=("$started")
    platform=$address
    for n in $(seq "$many"); do
        start "engine-$n" "$bin/fake-engine" --name "engine-$n" --model "$model" --step "$step" \
            --load-lag 200ms --cache-lag 300ms --cache-gap 0.05 --seed "$n"
        engine_pids+=("$started")
        pids+=("$started")
        engines+=("$address")
        add_host "engine-$n" engine "$model" "$n"
    done
    for n in 1 2 3 4; do
        start "service-$n" "$bin/fake-service" --name "service-$n" --service "$service"
        pids+=("$started")
        add_host "service-$n" service "$service" "$n"
    done
    curl --silent --fail -X PUT "http://$platform/v1/hosts" -d "{\"hosts\":[$hosts]}" >/dev/null
    for workspace in $workspaces; do
        "$bin/poplar-ctl" --platform "$platform" budget create "$workspace" --limit "$budget" >/dev/null
    done
    targets=()
    for n in $(seq "$routers"); do
        sed -e "s/^name = .*/name = router-$n/" -e "s/^centre = .*/centre = ${centres[$n % 4]}/" \
            -e "s/^\(listen\|admin\|peer\) = .*/\1 = 127.0.0.1:0/" \
            -e "/^\[platform\]/,/^\[/ s/^address = .*/address = $platform/" \
            -e "s/^policy = .*/policy = $policy/" config/poplar-router.ini >"$dir/router-$n.ini"
        start "router-$n" "$bin/poplar-router" --settings "$dir/router-$n.ini"
        router_pids+=("$started")
        targets+=(--target "$address,$admin")
    done
    "$bin/poplar-ctl" --platform "$platform" apply "$classes" >/dev/null
    sleep 3
}

add_host() { # arguments: name, role, what it serves, number
    hosts+="${hosts:+,}{\"name\":\"$1\",\"address\":\"$address\",\"centre\":\"${centres[$4 % 4]}\",\"role\":\"$2\",\"serves\":\"$3\",\"state\":\"live\"}"
}

ticks() { # prints the total processor time of the routers, in clock ticks
    local sum=0 pid
    for pid in "${router_pids[@]}"; do
        [ -e "/proc/$pid/stat" ] && sum=$((sum + $(awk '{print $14 + $15}' "/proc/$pid/stat")))
    done
    echo "$sum"
}
