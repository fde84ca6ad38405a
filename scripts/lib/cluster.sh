# Functions that start and stop a small system of separate processes on loopback. The script
# that sources them first sets "name", the prefix of messages, and changes to the repository root.
root=$PWD
run=$(mktemp -d)
pids=()
declare -A pid_of

stop_all() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null; done
  for _ in $(seq 100); do
    alive=0
    for p in "${pids[@]}"; do kill -0 "$p" 2>/dev/null && alive=1; done
    [ "$alive" -eq 0 ] && break
    sleep 0.2
  done
  for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null; done
  wait 2>/dev/null
}

fail() {
  trap - EXIT
  stop_all
  echo "logs are kept in $run"
  echo "$name: FAILED: $1"
  exit 1
}
trap 'fail "interrupted"' EXIT

build_if_needed() {
  if [ ! -d org.ebonypond.server/target/lib ] || [ ! -d org.ebonypond.bench/target/lib ]; then
    echo "== building"
    mvn -q -B -ntp -DskipTests package >"$run/build.log" 2>&1 || fail "build, see $run/build.log"
  fi
}

base=${EBONYPOND_BASE_PORT:-21000}
zones=(java-a java-b java-c)
entries=127.0.0.1:$((base + 1)),127.0.0.1:$((base + 2)),127.0.0.1:$((base + 3))
export EBONYPOND_ENTRIES=$entries
export EBONYPOND_JAVA_OPTS="-Xmx128m -XX:TieredStopAtLevel=1 -XX:+UseSerialGC"
tool="$root/scripts/ebonypond"
standins="$root/org.ebonypond.junit.http/target"

start_daemon() { # number
  local n=$1
  (exec "$root/scripts/ebonypondd" --settings "$run/entry-$n.toml") \
    >>"$run/entry-$n.out" 2>>"$run/entry-$n.log" &
  pid_of[entry-$n]=$!
  pids+=($!)
}

start_standin() { # class, instance, arguments
  local class=$1 instance=$2
  shift 2
  (exec java $EBONYPOND_JAVA_OPTS -cp "$standins/classes:$standins/lib/*" \
    "org.ebonypond.junit.http.$class" --instance="$instance" --entries="$entries" "$@") \
    >"$run/$instance.log" 2>&1 &
  pid_of[$instance]=$!
  pids+=($!)
}

wait_for() { # seconds, description, command...
  local end=$((SECONDS + $1)) what=$2
  shift 2
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || fail "$what"
    sleep 0.2
  done
}

status_has() { # extended regular expression, count
  local n
  n=$(curl -s -m 2 "http://127.0.0.1:$((base + 1))/admin/v1/status" | grep -oE "$1" | wc -l)
  [ "$n" -ge "$2" ]
}

write_settings() { # number
  local n=$1
  {
    echo "node = \"entry-$n\""
    echo "zone = \"${zones[$((n - 1))]}\""
    echo "http = \"127.0.0.1:$((base + n))\""
    echo "peer = \"127.0.0.1:$((base + 100 + n))\""
    echo "data_folder = \"$run/data-$n\""
    echo "drain_notice_ms = 500"
    for r in 1 2 3; do
      printf '[[replica]]\nname = "entry-%s"\npeer = "127.0.0.1:%s"\n' "$r" $((base + 100 + r))
    done
  } >"$run/entry-$n.toml"
}

start_engine() { # instance, port offset, zone, domain, further arguments
  local instance=$1 port=$((base + $2)) zone=$3 domain=$4
  shift 4
  start_standin EngineStandIn "$instance" --address="127.0.0.1:$port" --zone="$zone" \
    --domain="$domain" --load-ms=500 --warm-ms=3000 "$@"
}

write_document() { # version
  cat >"$run/service.toml" <<T
version = $1
[[engine_kind]]
name = "batcher"
checks_fencing = true
[[model]]
name = "drafter"
version = "2026-11"
engine_kind = "batcher"
zones = ["java-a", "java-b"]
groups_per_zone = 1
instances_per_group = 2
max_concurrency = 16
cold_ceiling = 2
warm_seconds = 3
[[service]]
name = "orders"
max_concurrency = 32
cold_ceiling = 4
warm_seconds = 2
idempotent = ["GET /orders/*", "GET /balances/*"]
[[workspace]]
name = "surabaya"
weight = 4
[[workspace]]
name = "malang"
T
}

alive() { curl -sf -m 1 "http://127.0.0.1:$((base + $1))/health/live"; }
ready() { curl -sf -m 1 "http://127.0.0.1:$((base + $1))/health/ready"; }

# Starts three entries, two groups of two engines and one plain service, and applies the document.
start_system() {
  for n in 1 2 3; do
    write_settings $n
    start_daemon $n
  done
  for i in 1 2; do
    start_engine "engine-a$i" $((200 + i)) java-a fabric-a
    start_engine "engine-b$i" $((210 + i)) java-b fabric-b
  done
  start_standin ServiceStandIn orders-1 --address=127.0.0.1:$((base + 221)) \
    --zone=java-c --service=orders --warm-ms=2000
  write_document 1
  for n in 1 2 3; do wait_for 20 "entry $n did not start" alive $n; done
  echo "== applying the document"
  "$tool" validate "$run/service.toml" || fail "the document is not valid"
  wait_for 20 "the document was not accepted" \
    "$tool" apply "$run/service.toml" --operation-id "$name-1"
  wait_for 25 "two groups did not become ready" status_has '"state":"READY"' 2
  for n in 1 2 3; do wait_for 10 "entry $n is not ready" ready $n; done
}
