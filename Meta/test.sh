#!/usr/bin/env bash
# Installs, builds and runs all tests. Flags:
#   --sanitize=address,undefined | --sanitize=thread   build and test with these sanitizers
#   --lint                                             check format and linter as well
set -euo pipefail
cd "$(dirname "$0")/.."
sanitize=
lint=
for word in "$@"; do
    case $word in
    --sanitize=*) sanitize=${word#*=} ;;
    --lint) lint=yes ;;
    *) echo "test.sh: unknown flag $word" >&2; exit 2 ;;
    esac
done
Meta/install.sh
folder=Build${sanitize:+-${sanitize//,/-}}
Meta/build.sh "$folder" ${sanitize:+-DSANITIZE="$sanitize"}
[ -z "$lint" ] || Meta/lint.sh "$folder"
export TSAN_OPTIONS="suppressions=$PWD/Meta/tsan.supp"
cd "$folder"
ctest --output-on-failure --timeout 300 -j 4
