"""Modules that a machine imports before it serves."""

import subprocess
import sys

from cardamomrun_base.errors import SettingsError


def test_an_entry_machine_does_not_import_the_consensus_code():
    """Guards against slow starts: each restart of a fleet pays for all imports."""
    code = (
        "import sys, cardamomrun_platform.__main__, cardamomrun_platform.process; "
        "print([n for n in sys.modules if n.startswith('cardamomrun_control')])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"


def test_sighup_during_the_imports_does_not_end_a_process():
    """Guards against processes that are gone because their settings changed at a start."""
    code = """
import os, signal, sys
import cardamomrun_platform.__main__ as entry_point
assert "tornado" not in sys.modules

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "cardamomrun_platform.process":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
entry_point.main()
"""
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, env={}
    )
    assert result.returncode == SettingsError.exit_code
    assert "CARDAMOMRUN_CONFIG" in result.stderr
