#!/usr/bin/env bash
# Installs cmake, with which nng's C part is built, if it is absent.
set -euo pipefail
command -v cmake >/dev/null && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -qq
$sudo apt-get install -y -qq cmake
