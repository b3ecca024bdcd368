#!/usr/bin/env bash
# Installs the dependencies, builds, and runs both sample deployments on loopback: a simulated
# platform with backend servers, daemons in three data centres and a manifest published with the
# tool. Under load, takes a data centre out of service and back in, stops a daemon gracefully and
# kills one. Prints each guarantee and the number of its violations; exits non-zero if there are
# any, or if bills are still pending at the end.
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
