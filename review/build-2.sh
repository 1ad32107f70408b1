#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start, beside the build of the deploy file.
# The stand-ins use Python's standard library only, so they are only compiled here.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import compileall
import pathlib
import sys

folders = ["stand_ins_2", *(n for n in "6 7 8 9 10".split() if pathlib.Path(n).is_dir())]
sys.exit(0 if all(compileall.compile_dir(f, quiet=1) for f in folders) else 1)
PYTHON
