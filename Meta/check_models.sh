#!/usr/bin/env bash
# Checks every model in Models/ in full. A model with `broken` in its name must fail, all others must hold.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
models=$PWD/Models
failures=0
for model in "$models"/*.pml; do
    name=$(basename "$model" .pml)
    mkdir "$folder/$name"
    cd "$folder/$name"
    spin -a "$model" >generate.log 2>&1 || { cat generate.log; exit 1; }
    gcc -O2 -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 -w -o pan pan.c
    ./pan -m1000000 -w24 >pan.log 2>&1 || true
    errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log | tail -1)
    states=$(sed -n 's/^ *\([0-9e+.]*\) states, stored.*/\1/p' pan.log | tail -1)
    truncated=$(grep -c 'max search depth too small\|out of memory' pan.log || true)
    expected=holds
    case $name in *broken*) expected=fails ;; esac
    verdict=holds
    [ "${errors:-none}" = 0 ] || verdict=fails
    # A search that was cut short proves nothing.
    [ "$truncated" = 0 ] || [ "$verdict" = fails ] || verdict=incomplete
    # A broken variant must fail by its assertion, not by some other fault of the model.
    [ "$verdict" != fails ] || grep -q 'assertion violated' pan.log || verdict=other-error
    echo "model=$name expected=$expected verdict=$verdict errors=${errors:-none} states=${states:-none}"
    if [ "$verdict" != "$expected" ]; then
        failures=$((failures + 1))
        head -20 pan.log
    fi
    cd - >/dev/null
done
[ "$failures" -eq 0 ]
