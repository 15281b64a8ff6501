# Functions that start a small fleet on loopback: the platform stand-in, three instances of one database and three daemons.
# Sourced by tools/run-local and tools/chaos. Ports: CAMPHORSTACK_PORT_BASE (default 27100) and the 30 above it. The default lies
# below the range from which Linux takes the ports of outgoing connections: a port in that range may be in use when a daemon starts.
# shellcheck shell=bash

port_base="${CAMPHORSTACK_PORT_BASE:-27100}"
platform_address="127.0.0.1:$port_base"
centres=(amman-a irbid-a aqaba-a)
workspace_ids=(counters-north counters-south archive)
workspace_keys=(north-key-8f2b1c south-key-47d09e archive-key-c3361a)
workspace_rate="${CAMPHORSTACK_WORKSPACE_RATE:-1000}"  # Requests per second.
database=serial-registry-1
route=books
declare -A pid_of=()

instance_address() { echo "127.0.0.1:$((port_base + $1))"; }
peer_address() { echo "127.0.0.1:$((port_base + 10 + $1))"; }
http_address() { echo "127.0.0.1:$((port_base + 20 + $1))"; }

say() { echo "[$(date +%T)] $*"; }

build_fleet() {
    tools/packages
    cmake --preset release > /dev/null
    cmake --build build --target camphorstack instance platform > "$fleet_directory/build.log" 2>&1 || {
        tail -n 30 "$fleet_directory/build.log"
        return 1
    }
}

write_document() {
    local hashes=() limits=() endpoints=() centre_list=() names=() i hash
    for i in 0 1 2; do
        hash="$(printf %s "${workspace_keys[$i]}" | sha256sum | cut -d' ' -f1)"
        hashes+=("{\"id\":\"${workspace_ids[$i]}\",\"keys\":[{\"id\":\"first\",\"sha256\":\"$hash\"}]}")
        limits+=("{\"workspace\":\"${workspace_ids[$i]}\",\"rate_per_s\":$workspace_rate,\"burst\":$((workspace_rate / 2))}")
        names+=("\"${workspace_ids[$i]}\"")
        centre_list+=("{\"id\":\"${centres[$i]}\",\"region\":\"jordan\",\"state\":\"in\"}")
        endpoints+=("{\"id\":\"registry-1-$((i + 1))\",\"data_centre\":\"${centres[$i]}\",\"address\":\"$(instance_address $((i + 1)))\",\"slots\":2,\"connections\":16,\"state\":\"in\"}")
    done
    local IFS=,
    cat > "$fleet_directory/document.json" << END
{"sections":{
"tenancy":{"version":1,"change_id":"local-1","content":{"workspaces":[${hashes[*]}],
 "routes":[{"id":"$route","service":"serial-registry","workspaces":[${names[*]}],"open_workspace":""}]}},
"capacity":{"version":1,"change_id":"local-2","content":{"limits":[${limits[*]}]}},
"data_centres":{"version":1,"change_id":"local-3","content":{"data_centres":[${centre_list[*]}]}},
"databases":{"version":1,"change_id":"local-4","content":{"databases":[
 {"id":"$database","service":"serial-registry","endpoints":[${endpoints[*]}]}]}}}}
END
}

write_host_list() {
    local hosts=() i
    for i in 1 2 3; do
        hosts+=("{\"id\":\"host-$i\",\"address\":\"$(peer_address "$i")\",\"http_address\":\"$(http_address "$i")\",\"data_centre\":\"${centres[$((i - 1))]}\",\"state\":\"live\"}")
    done
    local IFS=,
    echo "{\"hosts\":[${hosts[*]}]}" > "$fleet_directory/hosts.json"
}

write_settings() {
    local i="$1" seed
    {
        echo "id: host-$i"
        echo "data_centre: ${centres[$((i - 1))]}"
        echo "peer_address: $(peer_address "$i")"
        echo "http_address: $(http_address "$i")"
        echo "platform_address: $platform_address"
        echo "fleet_secret: $fleet_secret"
        echo "token_secret: $token_secret"
        echo "seeds:"
        for seed in 1 2 3; do
            echo "  - {id: host-$seed, peer_address: \"$(peer_address "$seed")\", http_address: \"$(http_address "$seed")\", data_centre: ${centres[$((seed - 1))]}}"
        done
    } > "$fleet_directory/host-$i.yaml"
}

# start NAME COMMAND...: runs a program in the background and writes its output to NAME.log
start() {
    local name="$1"
    shift
    "$@" >> "$fleet_directory/$name.log" 2>&1 &
    pid_of[$name]=$!
}

start_platform() {
    start platform build/bin/platform --listen="$platform_address" --document="$fleet_directory/document.json" \
        --hosts="$fleet_directory/hosts.json"
}

start_instance() {
    start "instance-$1" build/bin/instance --listen="$(instance_address "$1")" --id="registry-1-$1"
}

start_host() {
    start "host-$1" build/bin/camphorstack serve --settings="$fleet_directory/host-$1.yaml"
}

# Writes all files and starts all programs.
start_fleet() {
    fleet_secret="$(head -c 24 /dev/urandom | base64 | tr -d '+/=')"
    token_secret="$(head -c 24 /dev/urandom | base64 | tr -d '+/=')"
    write_document
    write_host_list
    start_platform
    local i
    for i in 1 2 3; do
        start_instance "$i"
        write_settings "$i"
    done
    for i in 1 2 3; do
        start_host "$i"
    done
    check_started
}

# Fails if a program has ended. A program whose port is in use ends at once, and requests to that port would reach another program.
check_started() {
    local name
    sleep 0.5
    for name in "${!pid_of[@]}"; do
        if ! kill -0 "${pid_of[$name]}" 2> /dev/null; then
            say "FAILED: $name did not start; are the ports from $port_base to $((port_base + 30)) free? Its log:"
            cat "$fleet_directory/$name.log"
            exit 1
        fi
    done
}

is_running() { [ -n "${pid_of[$1]:-}" ] && kill -0 "${pid_of[$1]}" 2> /dev/null; }

# Ends one program by its process id and waits for it; kills it after 8 s.
stop() {
    local name="$1" pid="${pid_of[$1]:-}" tries
    [ -n "$pid" ] || return 0
    unset "pid_of[$name]"
    kill -CONT "$pid" 2> /dev/null || true
    kill -TERM "$pid" 2> /dev/null || true
    for ((tries = 0; tries < 80; ++tries)); do
        kill -0 "$pid" 2> /dev/null || break
        sleep 0.1
    done
    kill -KILL "$pid" 2> /dev/null || true
    wait "$pid" 2> /dev/null || true
}

stop_fleet() {
    local name
    for name in host-1 host-2 host-3 instance-1 instance-2 instance-3 platform; do
        stop "$name"
    done
    for name in "${!pid_of[@]}"; do
        stop "$name"
    done
}

# field NAME: prints a text field of the flat JSON object on standard input
field() { sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p"; }

# statement HOST KEY JSON-FIELDS: sends one statement as a caller and prints the answer
statement() {
    curl --silent --max-time 8 --request POST "http://$(http_address "$1")/v1/statement" \
        --header "Authorization: Bearer $2" --header 'Content-Type: application/json' \
        --data "{\"route\":\"$route\",\"database\":\"$database\",$3}" || true
}

# Waits until a daemon serves a write, at most 30 s. The idempotency key makes all attempts one write.
first_write() {
    local answer="" tries
    for ((tries = 0; tries < 120; ++tries)); do
        answer="$(statement 1 "${workspace_keys[0]}" '"kind":"write","statement":"ADD book-7 100","idempotent":true,"idempotency_key":"reserve-book-7"')"
        if [ "$(echo "$answer" | field outcome)" = done ]; then
            echo "$answer"
            return 0
        fi
        sleep 0.25
    done
    echo "${answer:-no answer}"
    return 1
}

show_logs() {
    local log
    for log in "$fleet_directory"/*.log; do
        echo "--- $(basename "$log")"
        tail -n 8 "$log"
    done
}
