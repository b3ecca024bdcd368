#!/usr/bin/env bash
# Installs the dependencies, builds and runs all tests. The last line is the test runner's summary.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/build.sh
build/Tests/lycheearch-tests -j4
