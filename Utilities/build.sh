#!/usr/bin/env bash
# Installs the dependencies and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/install-dependencies.sh
cmake -S . -B build -G Ninja >/dev/null
ninja -C build
