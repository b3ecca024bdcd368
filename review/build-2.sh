#!/bin/sh
# Builds the stand-ins and the cases 6 to 10 in target/review-2. The build of the deploy file comes
# before it.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/StandIns-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 -j4
