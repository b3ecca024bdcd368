#!/usr/bin/env bash
# Checks the format and lints all sources. Needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
files=$(git ls-files 'Source/*.cpp' 'Source/*.h' 'Utilities/*.cpp' 'Utilities/*.h' 'Tests/*.cpp' \
    'Tests/*.h' | grep -v 'peer.capnp')
# shellcheck disable=SC2086
clang-format --dry-run --Werror $files
echo "$files" | grep '\.cpp$' | grep -v '^Tests/' \
    | xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>&1 \
    | grep -vE '^[0-9]+ warnings? generated|^Suppressed|^Use -header-filter|^$' || true
test "${PIPESTATUS[1]:-0}" -eq 0
