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
# Tests that are known to be red, by ctest's name: all before the first colon of each line. They run first and are printed;
# whether they fail does not count, and ctest's summary of all others comes last.
known_red=
[ ! -s KNOWN-RED.txt ] || known_red=$(sed -n 's/^\([A-Za-z.]*\):.*/\1/p' KNOWN-RED.txt | paste -sd '|')
cd "$folder"
if [ -n "$known_red" ]; then
    ctest --timeout 300 -j 4 -R "^($known_red)\$" || true
    ctest --output-on-failure --timeout 300 -j 4 -E "^($known_red)\$"
else
    ctest --output-on-failure --timeout 300 -j 4
fi
