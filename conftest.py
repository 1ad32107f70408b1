"""Lets processes that tests start import the packages of this checkout."""

import os
from pathlib import Path

_ROOT = Path(__file__).parent
_SOURCES = sorted(
    str(path) for path in (*_ROOT.glob("packages/*/src"), _ROOT / "platform/src")
)
os.environ["PYTHONPATH"] = os.pathsep.join(_SOURCES)
