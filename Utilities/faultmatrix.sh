#!/usr/bin/env bash
# Runs the fault matrix: each scenario (cell) runs daemons as separate processes under one
# combination of faults. Options: --list, --cell TEXT (only scenarios whose names contain it),
# --seed N, --parallel N, --deployment NAME. Exits non-zero if a scenario fails. Needs a build
# (Utilities/build.sh).
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=sitara
options=()
matrix=()
while [ $# -gt 0 ]; do
    case "$1" in
    --list) matrix+=(--list) ;;
    --cell | --parallel) matrix+=("$1" "$2"); shift ;;
    --seed) options+=(--seed "$2"); shift ;;
    --deployment) deployment=$2; shift ;;
    *) echo "faultmatrix.sh: found '$1', expected --list, --cell, --seed, --parallel or --deployment" >&2; exit 2 ;;
    esac
    shift
done
exec build/Utilities/lycheearch-trial --deployment "Utilities/Deployments/$deployment" \
    --work build/matrix --seconds 12 --rate 40 ${options[@]+"${options[@]}"} matrix ${matrix[@]+"${matrix[@]}"}
