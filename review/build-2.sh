#!/usr/bin/env bash
# Checks the stand-ins of the cases 4 to 8. They are Python and need nothing but what
# the build of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
python3 - <<'PYTHON'
import importlib
import pathlib

for name in ("bed", "httpd", "store", "worker"):
    importlib.import_module(f"review.bed.{name}")
for path in sorted(pathlib.Path("review").glob("[4-8]/case.py")):
    compile(path.read_text(), str(path), "exec")
    print(f"{path}: ready")
PYTHON
