#!/usr/bin/env bash
# Installs cmake if it is missing; the C library of nng is built with it.
set -euo pipefail
command -v cmake >/dev/null && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -qq
$sudo apt-get install -y -qq cmake
