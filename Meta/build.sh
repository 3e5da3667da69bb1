#!/usr/bin/env bash
# Builds into the folder given, or Build. Further words go to cmake.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-Build}
shift || true
cmake -G Ninja -S . -B "$folder" "$@" >"/tmp/cleatbeam-configure.$$" || { cat "/tmp/cleatbeam-configure.$$"; exit 1; }
rm -f "/tmp/cleatbeam-configure.$$"
ninja -C "$folder" --quiet
