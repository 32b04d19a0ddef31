#!/usr/bin/env bash
# Runs the whole system on loopback addresses in less than a minute: the stand-in
# platform, two daemons in each of three failure domains, service requests, tasks,
# a failure domain that is taken out of service and back in, and a daemon that is
# killed. At the end it prints what the stand-in's backend servers and workers
# recorded, and stops every process that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly DOMAINS=(a b c)
readonly DAEMONS_PER_DOMAIN=2
readonly START_SECONDS=30 # timeout of each startup step
readonly SECOND_OCTET=$((16 + $$ % 200))

directory=$(mktemp -d)
declare -A pid_of=()

stop_all() {
  local name
  for name in "${!pid_of[@]}"; do
    kill -TERM "${pid_of[$name]}" 2>/dev/null || true
  done
  for name in "${!pid_of[@]}"; do
    wait "${pid_of[$name]}" 2>/dev/null || true
  done
  rm -rf "$directory"
}

on_exit() {
  local code=$?
  trap - EXIT
  if ((code != 0)); then
    echo "demo: failed; last lines of the logs:" >&2
    tail -n 5 "$directory"/*.log >&2 || true
  fi
  stop_all
  exit "$code"
}
trap on_exit EXIT
trap 'exit 130' INT TERM

step() { printf '\n== %s\n' "$*"; }

# await COMMAND... repeats the command until it succeeds or START_SECONDS have passed.
await() {
  local end=$((SECONDS + START_SECONDS))
  until "$@" >"$directory/await.out" 2>&1; do
    if ((SECONDS > end)); then
      echo "demo: timed out waiting for: $*" >&2
      cat "$directory/await.out" >&2
      return 1
    fi
    sleep 0.1
  done
}

# Each entry host has its own loopback address, so all can use the same ports.
address_of() { # HOST
  local domain=${1%%-*} number=${1##*-e}
  local third=$(($(printf '%d' "'$domain") - 96))
  echo "127.$SECOND_OCTET.$third.$number"
}

# request HOST TEMPLATE ID BODY sends a service request and prints the status
# line, the outcome and the response body.
request() {
  local address line outcome="" status
  address=$(address_of "$1")
  exec 3<>"/dev/tcp/$address/8080"
  printf 'POST /v1/services/%s/work HTTP/1.1\r\nHost: demo\r\nConnection: close\r\nDotter-Request: %s\r\nContent-Length: %d\r\n\r\n%s' \
    "$2" "$3" "${#4}" "$4" >&3
  read -r status <&3
  while read -r line <&3 && [[ $line != $'\r' ]]; do
    [[ ${line,,} == dotter-outcome:* ]] && outcome=${line#*: }
  done
  printf '%s via %s: %s, %s, ' "$2" "$1" "${status%$'\r'}" "${outcome%$'\r'}"
  tr '\n' ' ' <&3
  echo
  exec 3<&-
}

ready() { # HOST
  local status
  exec 3<>"/dev/tcp/$(address_of "$1")/8082" || return 1
  printf 'GET /readyz HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n\r\n' >&3
  read -r status <&3
  exec 3<&-
  [[ $status == *" 200 "* ]]
}

start_daemon() { # HOST
  local address domain=${1%%-*}
  address=$(address_of "$1")
  cat >"$directory/$1.jsonc" <<SETTINGS
{
  // An entry host of the demo.
  "Host": "$1",
  "FailureDomain": "$domain",
  "Region": "r1",
  "CallerListen": "$address:8080",
  "PeerListen": "$address:8081",
  "OperatorListen": "$address:8082",
  "StoreAddress": "$platform",
  "SeedPeers": [$seeds],
}
SETTINGS
  bin/dotterelusherd --settings "$directory/$1.jsonc" >>"$directory/$1.log" 2>&1 &
  pid_of[$1]=$!
}

operate() { bin/dotterelusher --operator "$(address_of b-e1):8082" --caller "$(address_of b-e1):8080" "$@"; }

hosts=()
entries=()
seeds=""
for domain in "${DOMAINS[@]}"; do
  for ((i = 1; i <= DAEMONS_PER_DOMAIN; i++)); do
    name="$domain-e$i"
    hosts+=("$name")
    entries+=(--entry "$name=$domain@$(address_of "$name"):8081")
    if ((i == 1)); then seeds+="${seeds:+, }\"$(address_of "$name"):8081\""; fi
  done
done

step "the stand-in platform: 8 workers and 2 backend servers of each service in each of ${#DOMAINS[@]} failure domains"
bin/standin --workers 8 --backends 2 --service refresh=exponential:5 --service clearance=exponential:5 \
  --run-for 120 "${entries[@]}" >"$directory/standin.json" 2>"$directory/standin.log" &
pid_of[standin]=$!
await grep -q Platform "$directory/standin.json"
platform=$(sed -E 's/.*"Platform":"([^"]+)".*/\1/' "$directory/standin.json")
echo "the store, the host list and the stand-in's records are served at $platform"

step "${#hosts[@]} daemons: ${hosts[*]}"
for name in "${hosts[@]}"; do start_daemon "$name"; done
await operate configuration import examples/demo/configuration.jsonc
for name in "${hosts[@]}"; do await ready "$name"; done
operate status

step "service requests through each entry host"
number=0
for name in "${hosts[@]}"; do
  number=$((number + 1))
  request "$name" refresh "demo-refresh-$number" "indicators of district $number"
  request "$name" clearance "demo-clearance-$number" "transfer $number"
done

step "tasks: 40 reweightings, 10 settlements that must not run twice"
operate task submit --retry 20000 reweighting --count 40 --wait 30000 | tail -n 3
operate task submit --retry 20000 settlement --count 10 --wait 30000 | tail -n 3

step "failure domain a is taken out of service; its entry hosts forward requests"
operate domain out a
sleep 3
for i in 1 2 3; do request a-e1 refresh "demo-out-$i" "while a is out"; done
operate domain in a

step "the daemon of c-e2 is killed; the others continue"
kill -KILL "${pid_of[c-e2]}"
wait "${pid_of[c-e2]}" 2>/dev/null || true
unset 'pid_of[c-e2]'
for i in 1 2 3; do request c-e1 clearance "demo-kill-$i" "after the kill"; done
operate task submit --retry 20000 reweighting --count 20 --wait 30000 | tail -n 3

step "the most recent decisions of b-e1"
operate decisions --count 3

step "what the stand-in recorded"
bin/standin --truth "$platform" | tee "$directory/truth"
if ! grep -q '^violations: 0$' "$directory/truth"; then
  echo "demo: the stand-in recorded violations" >&2
  exit 1
fi
printf '\ndemo: done in %d s\n' "$SECONDS"
