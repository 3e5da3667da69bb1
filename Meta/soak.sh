#!/usr/bin/env bash
# Runs the fault soak with seeds from FIRST to LAST (default 1 to 50), STRIKES faults each (default 40). Ends with a line
# that counts the seeds that failed; the whole output of each of these is kept in soak-out/.
set -euo pipefail
cd "$(dirname "$0")/.."
first=${1:-1}
last=${2:-50}
strikes=${3:-40}
folder=${CLEATBEAM_BUILD:-$PWD/Build}
mkdir -p soak-out
failed=()
for seed in $(seq "$first" "$last"); do
    if CLEATBEAM_BUILD=$folder CLEATBEAM_SOAK_SEED=$seed CLEATBEAM_SOAK_STRIKES=$strikes "$folder/TestSoak" >"soak-out/$seed.txt" 2>&1; then
        grep -h 'MESSAGE' "soak-out/$seed.txt" || true
        rm "soak-out/$seed.txt"
    else
        failed+=("$seed")
        echo "seed $seed failed: soak-out/$seed.txt"
    fi
done
echo "soak: $((last - first + 1)) seeds, ${#failed[@]} failed ${failed[*]:-}"
[ ${#failed[@]} -eq 0 ]
