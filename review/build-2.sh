#!/usr/bin/env bash
# Checks that the stand-ins and scripts of cases 4 to 8 can be read by the interpreter; they need no build.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.py [4-8]/play.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
