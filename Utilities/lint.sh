#!/usr/bin/env bash
# Checks the format of all sources with clang-format and lints them, except for the tests, with
# clang-tidy. Needs a configured build folder (build/).
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files 'Source/*.cpp' 'Source/*.h' 'Utilities/*.cpp' 'Utilities/*.h' \
    'Tests/*.cpp' 'Tests/*.h' 'platform/*.cpp' 'platform/*.h' | grep -vE 'peer.capnp|feed.capnp')
clang-format --dry-run --Werror "${files[@]}"
report=$(mktemp)
status=0
printf '%s\n' "${files[@]}" | grep '\.cpp$' | grep -v '^Tests/' \
    | xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet >"$report" 2>/dev/null || status=$?
cat "$report"
rm -f "$report"
if [ "$status" -ne 0 ]; then
    echo "lint failed" >&2
    exit 1
fi
echo "format and lint are clean"
