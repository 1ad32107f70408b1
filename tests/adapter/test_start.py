"""Modules that a machine imports before it serves."""

import subprocess
import sys


def test_an_entry_machine_does_not_import_the_consensus_code():
    """Guards against slow starts: each restart of a fleet pays for all imports."""
    code = (
        "import sys, cardamomrun_platform.__main__; "
        "print([n for n in sys.modules if n.startswith('cardamomrun_control')])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"
