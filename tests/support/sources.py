"""The program's source files as syntax trees."""

import ast

from tests.support import stage

PACKAGE = stage.ROOT / "src" / "mangosail"


def trees(folder=PACKAGE):
    """Yield (path from the root, syntax tree) of each module below `folder`."""
    for path in sorted(folder.rglob("*.py")):
        yield path.relative_to(stage.ROOT), ast.parse(path.read_text())


def calls(tree):
    """Yield (name of what is called, call) for each call in `tree`."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Call):
            func = node.func
            yield getattr(func, "attr", getattr(func, "id", "")), node


def constant(node):
    """Return the string that `node` is, or None."""
    return node.value if isinstance(getattr(node, "value", None), str) else None
