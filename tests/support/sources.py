"""Syntax trees of the package's source files."""

import ast

from tests.support import stage

PACKAGE = stage.ROOT / "src" / "mangosail"


def syntax_trees(folder=PACKAGE):
    """Yield (path relative to the root, syntax tree) of each module in `folder`."""
    for path in sorted(folder.rglob("*.py")):
        yield path.relative_to(stage.ROOT), ast.parse(path.read_text())


def calls(tree):
    """Yield (name of the called function, call node) for each call in `tree`."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Call):
            func = node.func
            yield getattr(func, "attr", getattr(func, "id", "")), node


def constant(node):
    """Return the value of a string constant, or None for any other node."""
    return node.value if isinstance(getattr(node, "value", None), str) else None
