# Functions of the measurement scripts, which set the table's name in $table and source this file.
# Raw results are rows "variant,run,metric,value" in build/measurements/NAME.csv.
export LC_ALL=C
results=build/measurements
csv="$results/$table.csv"
markdown="$results/$table.md"
mkdir -p "$results"
echo "variant,run,metric,value" >"$csv"
: >"$markdown"
runs=5
testbedPid=
folder=
trap stop_installation EXIT

fail() {
    echo "measure: $table: $*" >&2
    exit 1
}

# services_json GROUPS MEDIAN_MS POOL_REPLICAS: the stand-in's services. Their ports are below the ephemeral range: the
# testbed reserves no port, so that a replica could otherwise take the port of a front.
services_json() {
    local port=$((10000 + RANDOM % 20000))
    cat <<JSON
[{"name": "drafting-desk", "kind": "sharded", "groups": $1, "replicas": 3, "firstPort": $port, "slots": 5, "queueLength": 64,
  "connections": 40, "connectDelayMs": 6, "startingMs": 0, "serviceTime": {"medianMs": $2, "sigma": 0.3},
  "versions": [1], "epoch": 1, "keys": 1000},
 {"name": "archive-shelf", "kind": "pool", "replicas": $3, "firstPort": $((port + 3 * $1)), "slots": 3, "connections": 100,
  "connectDelayMs": 1, "serviceTime": {"medianMs": 2, "sigma": 0.3}}]
JSON
}

# configuration_json HEDGING [MARK]: the content of a change. The mark makes the contents of two changes differ.
# Ramp-up is off, because every run would otherwise begin with cold replicas.
configuration_json() {
    cat <<JSON
{"entry": {"keepMs": $((1000 + ${2:-0}))}, "services": {
 "drafting-desk": {"kind": "sharded", "defaultDeadlineMs": 5000, "rampUpMs": 0, "hedge": {"enabled": $1}},
 "archive-shelf": {"kind": "pool", "defaultDeadlineMs": 10000, "rampUpMs": 0}}}
JSON
}

# start_installation FRONTS CONTROLS SERVICES CONFIGURATION: returns once every front answers a search.
start_installation() {
    local address caller
    stop_installation
    folder="$(mktemp -d)"
    echo "$3" >"$folder/services.json"
    : >"$folder/addresses"
    build/bin/galenawell-testbed --folder "$folder" --fronts "$1" --controls "$2" --services "$folder/services.json" \
        --log-level warn >"$folder/addresses" &
    testbedPid=$!
    for _ in $(seq 100); do
        grep -q '^token ' "$folder/addresses" && break
        sleep 0.1
    done
    mapfile -t callers < <(awk '/^front-/ { print $3 }' "$folder/addresses")
    mapfile -t frontOperators < <(awk '/^front-/ { print $5 }' "$folder/addresses")
    mapfile -t controlOperators < <(awk '/^control-/ { print $3 }' "$folder/addresses")
    standin="$(awk '/^standin/ { print $3 }' "$folder/addresses")"
    token="$(cat "$folder/operator-token")"
    seeds="$(IFS=,; echo "${callers[*]}")"
    configurationNumber=0
    for _ in $(seq 100); do
        apply_configuration "$4" && break
        sleep 0.2
    done
    [ "$configurationNumber" = 1 ] || fail "the configuration was not accepted: $(cat "$folder/reply")"
    for caller in "${callers[@]}"; do
        wait_for_search "$caller"
    done
}

wait_for_search() {
    local status
    for attempt in $(seq 150); do
        status="$(curl -s -o "$folder/search" -w '%{http_code}' -m 5 "http://$1/v1/query" \
            -d "{\"id\": \"probe-$attempt-$1\", \"caller\": \"probe\", \"service\": \"drafting-desk\", \"body\": {\"kind\": \"aggregate\"}}" || true)"
        [ "$status" = 200 ] && return
        sleep 0.1
    done
    fail "the front at $1 answers no search: $(cat "$folder/search")"
}

stop_installation() {
    if [ -n "$testbedPid" ]; then
        kill "$testbedPid" 2>/dev/null || true
        wait "$testbedPid" 2>/dev/null || true
        rm -rf "$folder"
    fi
    testbedPid=
}

# apply_configuration CONTENT: submits it under the next number and leaves the latency in $commitSeconds.
apply_configuration() {
    local reply
    reply="$(curl -s -o "$folder/reply" -m 10 -w '%{http_code} %{time_total}' -H "Authorization: Bearer $token" \
        "http://${frontOperators[0]}/v1/admin/config" -d "{\"number\": $((configurationNumber + 1)), \"content\": $1}" || true)"
    commitSeconds="${reply#* }"
    [ "${reply%% *}" = 200 ] || return 1
    configurationNumber=$((configurationNumber + 1))
}

# Returns once every front shows the newest number. One curl asks all fronts.
wait_until_in_force() {
    local urls=("${frontOperators[@]/#/http://}") shown
    urls=("${urls[@]/%//v1/admin/config}")
    for _ in $(seq 500); do
        shown="$(curl -s -m 5 -w '\n' -H "Authorization: Bearer $token" "${urls[@]}" | grep -cE "\"number\": ?$configurationNumber[,}]" || true)"
        [ "$shown" = "${#urls[@]}" ] && return
    done
    fail "configuration $configurationNumber is not in force on every front after 500 rounds"
}

standin_control() {
    curl -sf -m 5 -o "$folder/reply" "http://$standin/control/$1" -d "$2" || fail "the stand-in refused $1"
}

# process_ids ROLE: front, control or standin.
process_ids() {
    local id command
    for id in $(cat "/proc/$testbedPid/task/$testbedPid/children"); do
        command="$(tr '\0' ' ' <"/proc/$id/cmdline")"
        case "$1:$command" in
            standin:*galenawell-standin* | front:*/settings/front-* | control:*/settings/control-*) echo "$id" ;;
        esac
    done
}

# processor_seconds ID...: sum of user and system time.
processor_seconds() {
    local id
    for id in "$@"; do
        cat "/proc/$id/stat"
    done | awk -v hz="$(getconf CLK_TCK)" '{ sub(/^.*\) /, ""); ticks += $12 + $13 } END { printf "%.2f\n", ticks / hz }'
}

# memory_mebibytes ID...: mean resident size.
memory_mebibytes() {
    local id
    for id in "$@"; do
        cat "/proc/$id/status"
    done | awk '/^VmRSS:/ { sum += $2; count++ } END { printf "%.2f\n", sum / count / 1024 }'
}

# metric_sum NAME ADDRESS...: sum of a metric over processes.
metric_sum() {
    local name="$1" urls
    shift
    urls=("${@/#/http://}")
    curl -s -m 5 "${urls[@]/%//metrics}" | awk -v name="$name" 'index($1, name "{") == 1 || $1 == name { sum += $2 } END { printf "%.0f\n", sum }'
}

record() {
    echo "$1,$2,$3,$4" >>"$csv"
}

calculate() {
    awk "BEGIN { printf \"%.6g\\n\", ($1) }"
}

# run_driver FILE ARGUMENT...: runs the load driver and fails on a wrong answer.
run_driver() {
    local file="$1" status=0
    shift
    build/bin/galenawell-load --seeds "$seeds" --json "$@" >"$file" || status=$?
    [ "$status" = 3 ] && cp "$file" "$results/$table-wrong.json"
    [ "$status" = 0 ] || fail "galenawell-load $* ended with $status"
}

# record_report VARIANT RUN PRIORITY FILE: records the report of one priority, with counts summed over their reasons.
# Fails if no request was answered, since all percentiles are 0 then.
record_report() {
    awk -v variant="$1" -v run="$2" -v selected="$3" '
        /^    "/ { split($0, part, "\""); priority = part[2]; next }
        priority != selected { next }
        /^      "/ { split($0, part, "\""); field = part[2]; text = $2; sub(/,$/, "", text); value[field] = text + 0 }
        /^        "/ { value[field] += $2 }
        END { for (field in value) printf "%s,%s,%s,%s\n", variant, run, field, value[field] }' "$4" >>"$csv"
    awk -F, -v variant="$1" -v run="$2" '$1 == variant && $2 == run { value[$3] = $4 } END { exit (value["sent"] > 0 && value["complete"] == 0) }' "$csv" ||
        fail "$1, run $2: no request was answered: $(tr -d ' \n' <"$4")"
}

# recorded_value VARIANT RUN METRIC: one recorded value.
recorded_value() {
    awk -F, -v variant="$1" -v run="$2" -v metric="$3" '$1 == variant && $2 == run && $3 == metric { print $4 }' "$csv"
}

# record_ratio NAME VARIANT VARIANT METRIC: the quotient within each run.
record_ratio() {
    local run
    for run in $(seq "$runs"); do
        record "$1" "$run" "$4" "$(awk -v a="$(recorded_value "$2" "$run" "$4")" -v b="$(recorded_value "$3" "$run" "$4")" \
            'BEGIN { printf "%.6g\n", (b > 0 ? a / b : 0) }')"
    done
}

# statistics VARIANT METRIC: median, least, greatest.
statistics() {
    awk -F, -v variant="$1" -v metric="$2" '$1 == variant && $3 == metric { print $4 }' "$csv" | sort -g | awk '
        { value[NR] = $1 }
        END {
            if (NR == 0) { print "0 0 0"; exit }
            middle = int((NR + 1) / 2)
            median = NR % 2 ? value[middle] : (value[middle] + value[middle + 1]) / 2
            print median, value[1], value[NR]
        }'
}

median() {
    statistics "$1" "$2" | cut -d' ' -f1
}

# cell VARIANT METRIC FORMAT: "median (least to greatest)".
cell() {
    # shellcheck disable=SC2046 # three numbers
    printf "$3 ($3 to $3)" $(statistics "$1" "$2")
}

# Reads lines "x y" and prints the slope and intercept of the least-squares line.
fit_line() {
    awk '{ n++; x += $1; y += $2; xx += $1 * $1; xy += $1 * $2 }
        END { d = n * xx - x * x; s = d ? (n * xy - x * y) / d : 0; printf "%.6g %.6g\n", s, (y - s * x) / n }'
}

# Adds a line to the table.
row() {
    local text
    printf -v text ' %s |' "$@"
    echo "|$text" >>"$markdown"
}

header() {
    local line="" _
    row "$@"
    for _ in "$@"; do
        line="$line---|"
    done
    echo "|$line" >>"$markdown"
}

note() {
    printf '\n%s\n' "$*" >>"$markdown"
}
