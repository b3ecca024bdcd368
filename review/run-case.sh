#!/usr/bin/env bash
# Runs the program of a case: run-case.sh FOLDER TROUBLE. With TROUBLE 0, the disruption is left out.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
program="$root/build/review/review-case-$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x "$root/target/Source/lycheearchd" ]; then
    echo "build the deploy file and review/build.sh first" >&2
    exit 2
fi
work=$(mktemp -d)
cd "$root" || exit 2
"$program" "$root" "$work" "$folder/record.txt" "$2" &
case_id=$!
trap 'kill -TERM "$case_id" 2>/dev/null' TERM INT
wait "$case_id"
status=$?
if [ -n "${KEEP_LOGS:-}" ]; then
    echo "logs: $work" >&2
else
    rm -rf "$work"
fi
[ "$status" -le 2 ] || status=2
exit "$status"
