#!/usr/bin/env bash
# Runs the driver NAME of a case, after the build of the deploy file and review/build.sh. It writes what
# was sent, answered and run to the file RECORD. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. Whatever the driver started is ended.
#
# Usage: review/run-case.sh NAME RECORD    Environment: TROUBLE=0 leaves the disruption out
set -uo pipefail
record="$(cd "$(dirname "$2")" && pwd)/$(basename "$2")"
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/.."
driver=target/review/release/review-case
for program in "$driver" target/release/parsleystage-platform; do
    [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
set -m
timeout --foreground --kill-after=1 115 "$driver" "$1" "$record" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
wait "$group"
result=$?
case "$result" in
0 | 1) exit "$result" ;;
*) exit 2 ;;
esac
