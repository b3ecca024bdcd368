#!/bin/sh
# Runs the case of the folder that is given. Exit status: 1 if the rule was broken, 0 if it held, 2
# if the case could not run.
cd "$(dirname "$0")/.." || exit 2
number=$(basename "$1")
program=target/review-2/case-$number
if [ ! -x "$program" ] || [ ! -x target/Source/lycheearchd ]; then
    echo "build the deploy file and run review/build-2.sh first" >&2
    exit 2
fi
work=$(mktemp -d) || exit 2
timeout -k 5 110 "$program" "$PWD" "$PWD/review/$number" "$work"
status=$?
if [ -n "${KEEP:-}" ]; then
    mkdir -p "$KEEP" && cp -r "$work/." "$KEEP/"
fi
rm -rf "$work"
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
