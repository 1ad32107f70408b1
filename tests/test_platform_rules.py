"""Product packages keep to what the platform allows."""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
# Measuring tools start processes; they are not part of the product.
PRODUCT = [
    path
    for path in ROOT.glob("packages/*/src/**/*.py")
    if "cardamomrun_bench" not in path.parts
]
MODULES = {"mmap", "multiprocessing", "pty", "subprocess", "uvloop"}
NAMES = {
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


def _used(tree):
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield (node.module or "").split(".")[0]
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.Attribute):
            yield node.attr


@pytest.mark.parametrize("path", PRODUCT, ids=lambda path: path.stem)
def test_no_process_shared_memory_or_io_uring(path):
    """Guards against a product process that starts another or needs what is ruled out."""
    used = set(_used(ast.parse(path.read_text())))
    assert not used & (MODULES | NAMES)


def test_the_rule_sees_what_it_forbids():
    """Guards against a check that finds nothing because it looks in the wrong place."""
    source = "import subprocess\nfrom os import fork\nimport os\nos.posix_spawn"
    assert set(_used(ast.parse(source))) >= {"subprocess", "fork", "posix_spawn"}
    assert len(PRODUCT) > 50
