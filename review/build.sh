#!/usr/bin/env bash
# Checks the stand-ins, which need no build: they use the standard library only. The
# programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in stand_ins/*.py [1-5]/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
