#!/usr/bin/env bash
# Checks exit codes and messages of the command line, and that the worked settings are good.
set -uo pipefail
cd "$(dirname "$0")/.."
cleatbeam=${CLEATBEAM_BUILD:-Build}/cleatbeam
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
failures=0
expect() {
    local wanted=$1 pattern=$2
    shift 2
    "$cleatbeam" "$@" >"$folder/out" 2>&1
    local code=$?
    if [ "$code" != "$wanted" ] || ! grep -qe "$pattern" "$folder/out"; then
        echo "cleatbeam $*: exit code $code, wanted $wanted with '$pattern'; said:"
        cat "$folder/out"
        failures=$((failures + 1))
    fi
}
expect 2 'usage: cleatbeam'
expect 0 'usage: cleatbeam' --help
expect 2 "unknown subcommand 'fly'" fly
for subcommand in serve route check publish show status explain; do
    expect 0 "usage: cleatbeam $subcommand" "$subcommand" --help
    expect 2 'unknown flag --colour' "$subcommand" --colour=red
done
expect 2 'takes 1 argument' check
expect 2 'needs a value' serve --box
expect 2 "bad value 'soon'" serve --balancer_lag_ms=soon
expect 1 "can't read" check "$folder/none.yaml"
expect 2 "can't read" serve --box="$folder/none.yaml"
for example in censo-aves pharmalien; do expect 0 '^ok classes=' check "Examples/$example.yaml"; done
expect 0 'patience: 20s   # from classes/field/sighting' show Examples/censo-aves.yaml --class=sighting
expect 0 'tier: urgent   # from classes/field ' show Examples/censo-aves.yaml --class=sighting
expect 1 "no leaf is called 'nobody'" show Examples/censo-aves.yaml --account=nobody
sed 's/patience: 6s/patience: 6/' Examples/censo-aves.yaml >"$folder/bad.yaml"
expect 1 'path=classes/field/patience line=8 value="6" reason=' check "$folder/bad.yaml"
printf 'name: x\nlisten: nowhere\n' >"$folder/box.yaml"
expect 1 'path=listen line=2 value="nowhere"' serve --box="$folder/box.yaml"
expect 2 'names no settings file' route
printf '{"node_name": "x"}' >"$folder/environment.json"
export CLEATBEAM_CONFIG="$folder/environment.json"
expect 1 '/zone: is missing' route
unset CLEATBEAM_CONFIG
printf 'event=request_ended id=abc status=503 reason=no-endpoint\n' >"$folder/box.log"
expect 0 'because: no-endpoint' explain abc --log="$folder/box.log"
expect 1 'no line tells of request' explain missing --log="$folder/box.log"
expect 2 'explain takes 1 argument(s), got 0' explain --log="$folder/box.log"
expect 2 'explain takes 0 argument(s) with --window, got 1' explain abc --window=0-60 --log="$folder/box.log"
expect 2 "window: must be FROM-TO, .*got 'today'" explain --window=today --log="$folder/box.log"
expect 2 "window: must be FROM-TO, .*got ''" explain --window= --log="$folder/box.log"
expect 2 'window: FROM must be before TO' explain --window=60-60 --log="$folder/box.log"
expect 2 'window needs --log=FILE' explain --window=0-60
expect 2 'standard input more than once' explain --window=0-60 --log=-,-
expect 1 "can't read $folder/none.log" explain --window=0-60 --log="$folder/box.log,$folder/none.log"
expect 1 "can't read $folder" explain --window=0-60 --log="$folder"
expect 1 'box.log:1: no time' explain --window=0-60 --log="$folder/box.log"
end='event=request_ended id=abc route=ask account=nest status=503 reason=no-endpoint client_left=no took_ms=0.2'
printf 'time=2026-12-04T07:00:01.000+00:00 level=info box=one %s\n' "$end" >"$folder/one.log"
printf 'time=2026-12-04T07:00:09.000+00:00 level=info box=two %s\n' "$end" >"$folder/two.log"
: >"$folder/empty.log"
expect 0 '^all  *0  *2 .* 2 no-endpoint' explain --window=0-60 --log="$folder/one.log,$folder/empty.log,$folder/two.log"
expect 0 '^all  *0  *1 ' explain --window=2026-12-04T07:00:05Z-60 --log="$folder/one.log,$folder/two.log"
expect 0 '^all  *0  *1 ' explain --window=0-60 --log=- <"$folder/one.log"
# The table that the page shows is what the program prints for the example.
expect 0 '^all ' explain --window=0-60 --log=Examples/window.log
while IFS= read -r line; do
    if [ -n "$line" ] && ! grep -qxF -e "    $line" docs/OPERATIONS.md; then
        echo "docs/OPERATIONS.md lacks the line that explain --window prints for Examples/window.log: $line"
        failures=$((failures + 1))
    fi
done <"$folder/out"
expect 1 'no request ended' explain --window=20-60 --log="$folder/one.log"
expect 1 "does not answer" publish Examples/censo-aves.yaml --platform=127.0.0.1:1
expect 2 'must be an IP number' publish Examples/censo-aves.yaml --platform=nowhere
[ "$failures" -eq 0 ] && echo "command line: as it should be"
exit "$failures"
