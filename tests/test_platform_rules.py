"""Product packages use only what the platform allows."""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
# Measuring tools start processes; they are not part of the product.
PRODUCT_FILES = [
    path
    for path in ROOT.glob("packages/*/src/**/*.py")
    if "cardamomrun_bench" not in path.parts
]
FORBIDDEN_MODULES = {"mmap", "multiprocessing", "pty", "subprocess", "uvloop"}
FORBIDDEN_NAMES = {
    "ProcessPoolExecutor",
    "create_subprocess_exec",
    "create_subprocess_shell",
    "execv",
    "execve",
    "fork",
    "forkpty",
    "popen",
    "posix_spawn",
    "shared_memory",
    "system",
}


def _used_names(tree):
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield (node.module or "").split(".")[0]
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.Attribute):
            yield node.attr


@pytest.mark.parametrize("path", PRODUCT_FILES, ids=lambda path: path.stem)
def test_no_process_shared_memory_or_io_uring(path):
    """Guards against product code that starts processes or uses shared memory."""
    used = set(_used_names(ast.parse(path.read_text())))
    assert not used & (FORBIDDEN_MODULES | FORBIDDEN_NAMES)


def test_the_rule_sees_what_it_forbids():
    """Guards against a check that passes because it inspects nothing."""
    source = "import subprocess\nfrom os import fork\nimport os\nos.posix_spawn"
    assert set(_used_names(ast.parse(source))) >= {"subprocess", "fork", "posix_spawn"}
    assert len(PRODUCT_FILES) > 50
