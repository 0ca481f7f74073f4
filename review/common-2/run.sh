#!/bin/sh
# Starts the program of one case: `run.sh N`, called by review/N/run.sh. The program ends by itself, within 115 s, and
# the routers that it started end with it, however it ends.
set -u
REVIEW_ROOT=$(cd "$(dirname "$0")/../.." && pwd)
export REVIEW_ROOT
program=$REVIEW_ROOT/build/review-2/case-$1
if [ ! -x "$program" ] || [ ! -x "$REVIEW_ROOT/build/poppyscale" ]; then
    echo "build first: the build of the deploy file, then review/build-2.sh" >&2
    exit 2
fi
REVIEW_TEMPORARY=$(mktemp -d) || exit 2
export REVIEW_TEMPORARY
pid=
trap 'rm -rf "$REVIEW_TEMPORARY"' EXIT
trap '[ -n "$pid" ] && kill -KILL "$pid"; wait; exit 2' INT TERM HUP
"$program" "$REVIEW_ROOT/review/$1/record.txt" &
pid=$!
wait "$pid"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
