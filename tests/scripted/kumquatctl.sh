#!/bin/bash
# Runs kumquatctl against stand-ins of a balancer and of the store, with each failure of a confirm.
# Operation ids, digests, addresses and service numbers vary and are masked; revisions are compared.
set -u
bin=${KQ_BIN:-build/asan/bin}
dir=$(mktemp -d)
"$bin/standin-store" --listen 127.0.0.1:0 --admin 127.0.0.1:0 >"$dir/store" 2>"$dir/store.log" &
store_pid=$!
trap 'kill $store_pid $host_pid 2>/dev/null; rm -rf "$dir"' EXIT

wait_line() { # FILE: waits until the last background process has printed its address there
  until grep -q listening "$1"; do
    kill -0 $! || exit 1
    sleep 0.02
  done
}

wait_line "$dir/store"
store=$(awk '/listening/ {print $2}' "$dir/store")
"$bin/standin-operator_host" --store "$store" --key right >"$dir/host" 2>"$dir/host.log" &
host_pid=$!
wait_line "$dir/host"
KUMQUAT_SERVER=$(awk '/listening/ {print $2}' "$dir/host")
export KUMQUAT_SERVER KUMQUAT_KEY=right

admin() { # SWITCH?PARAMETER: sets a failure of the store's stand-in
  python3 -c "import sys, urllib.request
urllib.request.urlopen('http://$store/admin/' + sys.argv[1], timeout=5).read()" "$1"
}

ctl() { # runs kumquatctl, masks varying values, and prints the exit status
  echo "\$ kumquatctl $*"
  (cd "$dir" && "$bin_path/kumquatctl" "$@" 2>&1; echo "exit $?") |
    sed -E -e 's/[0-9a-f]{64}/DIGEST/g' -e 's/[0-9a-f]{32}/OPERATION/g' \
      -e 's/127\.0\.0\.1:[0-9]+/ADDRESS/g' -e 's/"number":[0-9]+/"number":N/g' \
      -e 's/number [1-9][0-9]{3,}/number N/'
}
bin_path=$(cd "$bin" && pwd)

echo "== help and usage"
ctl --version
ctl dance
ctl plan drain scoring
ctl plan change scoring slots
echo "== a first service from a file"
cat >"$dir/all.toml" <<'EOF'
[services.scoring]
port = 5683
slots = 5
slo_permille = 990
[services.scoring.worth]
marks = 10
EOF
ctl plan --file all.toml --out create.plan
ctl confirm create.plan
ctl watch create.plan | tail -3
ctl services
echo "== plan, refusal, confirm, twice"
ctl plan remove scoring --out never.plan
ctl plan drain scoring bole 60000 --out drain.plan
ctl plan worth scoring marks 20 --out worth.plan
ctl confirm drain.plan
ctl confirm drain.plan
ctl watch drain.plan | tail -3
ctl status
echo "== changed base, plan again, undo"
ctl confirm worth.plan
ctl plan undo scoring --out undo.plan
ctl confirm undo.plan
echo "== race of operators who touch different services"
ctl plan create media port=5684 --out media.plan >/dev/null
ctl plan create utleie port=5685 --out utleie.plan >/dev/null
(ctl confirm media.plan >"$dir/media.out") &
media_pid=$!
ctl confirm utleie.plan
wait $media_pid
cat "$dir/media.out"
echo "== lost answer, silent store, slow store, store down"
ctl plan worth scoring marks 30 --out lost.plan >/dev/null
admin 'lose_answers?n=1'
ctl confirm lost.plan
ctl plan worth scoring marks 40 --out silent.plan >/dev/null
admin 'lose_requests?n=99'
ctl confirm silent.plan
admin 'lose_requests?n=0'
ctl confirm silent.plan
ctl plan worth scoring marks 50 --out slow.plan >/dev/null
admin 'slow?ms=2000'
ctl confirm slow.plan
ctl plan drain scoring bole
admin 'slow?ms=0'
ctl confirm slow.plan
echo "== altered plan, no plan, wrong key, no balancer"
sed 's/"slots":5/"slots":9/g' "$dir/slow.plan" >"$dir/altered.plan"
ctl confirm altered.plan
ctl confirm missing.plan
KUMQUAT_KEY=wrong ctl status
ctl report | awk '/^service/ {shown = $2 == "scoring:"} /^(Agents|exit)/ {shown = 1} shown'
ctl report --json --html page.html | grep -c '"budget_left_percent":50'
grep -c '<svg' "$dir/page.html"
kill $store_pid
wait $store_pid 2>/dev/null
ctl plan drain scoring bole
ctl status | head -2
kill $host_pid
wait $host_pid 2>/dev/null
ctl confirm drain.plan
