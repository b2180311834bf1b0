#!/bin/bash
# Checks that every stand-in that the scripts of cases 9 and on start can be loaded: they are
# Python, so there is nothing to compile. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH="$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
exec python3 - <<'END'
import importlib
import pathlib

for name in ("store", "pool"):
    importlib.import_module(f"tests.standins.{name}")
for path in sorted(pathlib.Path("review").glob("*/*.py")):
    if path.parent.name in {"bed-3", "10"}:
        compile(path.read_text(), str(path), "exec")
print("stand-ins load")
END
