#!/bin/bash
# Runs one case: run.sh CASE. Starts its stand-ins (review/bin/caseCASE) and one router with the `run` line of
# deploy/balancer.toml. Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves
# the disruption out.
case_number=$1
root=$(cd "$(dirname "$0")/../.." && pwd)
standins=$root/review/bin/case$case_number
record=$root/review/$case_number/record.txt
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
if [ ! -x "$standins" ] || [ ! -x "$root/build/poppyscale" ] || [ -z "$run" ]; then
    echo "not built: the build of the deploy file and review/build.sh come first"
    exit 2
fi
work=$(mktemp -d) || exit 2
mkdir "$work/tmp"
router=
driver=
finish() {
    [ -n "$router" ] && kill -KILL "$router" 2>/dev/null
    [ -n "$driver" ] && kill -KILL "$driver" 2>/dev/null
    wait 2>/dev/null
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM

TROUBLE=${TROUBLE:-1} "$standins" "$work" "$record" &
driver=$!
# The stand-ins write the router's configuration once they listen.
for _ in $(seq 100); do
    [ -f "$work/config.json" ] && break
    sleep 0.05
done
[ -f "$work/config.json" ] || exit 2
cd "$root" || exit 2
env ROUTER_NAME=n0 ROUTER_CONFIG="$work/config.json" TMPDIR="$work/tmp" /bin/sh -c "$run" >"$work/router.log" 2>&1 &
router=$!

wait "$driver"
code=$?
driver=
if kill -0 "$router" 2>/dev/null; then alive=yes; else alive=no; fi
{
    echo "router alive at the end: $alive; its log:"
    cat "$work/router.log"
} >>"$record"
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
