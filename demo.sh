#!/usr/bin/env bash
# Sets a fresh machine up, builds, and runs the main job end to end on stand-ins at 127.0.0.0/8: the
# worked fleet of Kitakyushu with three entry hosts. Says what it does and why; leaves no process behind.
set -euo pipefail
cd "$(dirname "$0")"
tools/setup
tools/build build >/dev/null

Bin=build/bin
Example=examples/kitakyushu
Folder=$(mktemp -d)
Ids=()
export LYCHEE_SERVER=127.0.10.1:23002
export LYCHEE_TOKEN=example-only-token-kitakyushu-bootstrap
Key=council-1.example-only-6acaa518efb3c86288d4f2b187a06916

finish() {
  for Id in "${Ids[@]}"; do kill -TERM "$Id" 2>/dev/null || true; done
  sleep 0.2
  for Id in "${Ids[@]}"; do kill -KILL "$Id" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$Folder"
}
trap finish EXIT

say() { printf '\n== %s\n' "$*"; }

start() { # LOG PROGRAM ARGUMENT...
  local Log=$1
  shift
  "$@" >"$Folder/$Log" 2>&1 &
  Ids+=($!)
}

await() { # what to wait for, as a command
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.05
  done
  echo "demo: gave up waiting for: $*" >&2
  cat "$Folder"/host-*.log >&2
  return 1
}

caller() { # ARGUMENT... for curl; prints status, our headers and body
  curl -sS -i --max-time 15 "$@" | tr -d '\r' | grep -iE '^HTTP|^lychee-|^retry-after|^\{|^target|^[^:]*$' || true
}

say "The platform's store, and the 42 targets that the worked tree names (stand-ins)"
start store.log $Bin/lychee-standin-store --address 127.0.0.2 --port 23900
while read -r Name Address; do
  start "target-$Name.log" $Bin/lychee-standin-target --listen "$Address" --name "$Name" --slots 3 --work_ms 15
done < <(awk '/^\[target /{Name=$2; sub(/\]/, "", Name)} /^address = /{print Name, $3}' $Example/settings/*/targets.ini)
await grep -q event=listening "$Folder/store.log"
echo "started ${#Ids[@]} processes"

say "Three of the eight entry hosts; with no settings yet they refuse everything, truthfully"
Hosts=()
for Number in 1 2 3; do
  start "host-$Number.log" $Bin/lycheed --settings $Example/hosts/kitakyushu-$Number.ini
  Hosts+=($!)
done
for Number in 1 2 3; do await grep -q event=serving "$Folder/host-$Number.log"; done
caller -H "Authorization: Bearer $Key" http://127.0.10.1:23001/summaries

say "Operators apply the whole tree; --wait returns when it is in force on every host"
cp -r $Example/settings "$Folder/settings"
$Bin/lychee apply "$Folder/settings" --wait

say "A caller asks which hosts to use: nearest first, and how long the answer may be kept"
curl -sS --max-time 5 --interface 127.101.0.7 'http://127.0.10.1:23001/.well-known/lychee/hosts?service=case-portal'
echo

say "A request with a key: routed to a healthy target in the caller's region"
await curl -fsS --max-time 5 -H "Authorization: Bearer $Key" http://127.0.10.1:23001/summaries
caller -H "Authorization: Bearer $Key" http://127.0.10.1:23001/summaries | tee "$Folder/answer"
Id=$(awk 'tolower($1) == "lychee-request-id:" {print $2}' "$Folder/answer")

say "Why it went there"
$Bin/lychee explain "$Id"

say "An endorsement must run at most once: its key is claimed in the store before it runs"
for Try in first second; do
  echo "$Try send:"
  caller -X POST -H "Authorization: Bearer $Key" -H 'Idempotency-Key: endorsement-17' -d 'yes' http://127.0.10.1:23001/endorsements
done

say "Without a key, and with a withdrawn one: refused, and it says that it did not run"
caller http://127.0.10.1:23001/summaries
$Bin/lychee key withdraw council-1 --wait
caller -H "Authorization: Bearer $Key" http://127.0.10.2:23001/summaries

say "A target is drained: no new work; and what operators see"
$Bin/lychee drain target case-portal-01 --wait
$Bin/lychee status
$Bin/lychee history --limit 3

say "A host stops gracefully (SIGTERM): look-ups leave it out, requests end, then it closes"
kill -TERM "${Hosts[2]}"
wait "${Hosts[2]}" && echo "kitakyushu-3 ended with exit code 0"
grep -E 'event=stop' "$Folder/host-3.log" || true

say "Done: every step above ran as shown"
