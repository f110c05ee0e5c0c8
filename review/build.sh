#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs of this folder, without dependencies; there is
# nothing to link, so this checks that each of them compiles.
cd "$(dirname "$0")" || exit 1
for file in harness.py [0-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
