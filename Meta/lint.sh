#!/usr/bin/env bash
# Checks the form of all sources and runs the linter over them; anything found is an error.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-Build}
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '\.pb\.')
clang-format --dry-run --Werror "${sources[@]}"
printf '%s\n' "${sources[@]}" | grep '\.cpp$' | xargs -P "$(nproc)" -n 2 clang-tidy -p "$folder" --quiet 2>/tmp/cleatbeam-lint.$$ || { grep -v 'warnings generated' /tmp/cleatbeam-lint.$$; rm -f /tmp/cleatbeam-lint.$$; exit 1; }
rm -f /tmp/cleatbeam-lint.$$
echo "lint: clean"
