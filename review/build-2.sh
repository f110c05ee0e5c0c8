#!/bin/sh
# Builds what the cases 6 to 10 start, after the build of the deploy file: the project's own stand-ins (the nodes and
# the discovery service) are commands of the program itself; the others are Python files without dependencies.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p grebecleat
command -v python3 >/dev/null
python3 -B - review/harness_2.py review/initiator_2.py review/[0-9]*/case.py <<'PYTHON'
import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
PYTHON
