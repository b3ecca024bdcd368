#!/usr/bin/env bash
# Installs, builds, and runs both sample deployments on loopback: a stand-in for the platform and
# the backend servers, three data centres of daemons, a manifest published with the tool, real
# traffic, a data centre taken out and brought back, a graceful stop and a kill. Prints the promises
# and how often each was broken; exits non-zero if one was.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/build.sh
status=0
for deployment in sitara consorcio; do
    echo
    echo "== $deployment =="
    build/Utilities/lycheearch-trial --deployment "Utilities/Deployments/$deployment" \
        --work "build/demo-$deployment" --seconds 12 "$@" demo || status=1
done
exit $status
