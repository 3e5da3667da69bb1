#!/usr/bin/env bash
# Checks that the stand-ins of the scripts can be read by the interpreter; they need no build.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py */play.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
