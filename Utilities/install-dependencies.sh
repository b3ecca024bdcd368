#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linters need.
set -euo pipefail
if [ "$(id -u)" -ne 0 ]; then SUDO=sudo; else SUDO=; fi
export DEBIAN_FRONTEND=noninteractive
$SUDO apt-get update -q >/dev/null
$SUDO apt-get install -y -q --no-install-recommends \
    g++ cmake ninja-build pkg-config clang-format clang-tidy \
    libpoco-dev libssl-dev libcapnp-dev capnproto libboost-dev libcli11-dev libeasyloggingpp-dev \
    libcriterion-dev libtrompeloeil-cpp-dev libyaml-cpp-dev nlohmann-json3-dev libxxhash-dev \
    >/dev/null
