"""Builds the single-file release: ``python tools/bundle.py dist/mangosail.pyz``.

Needs no network: the program's dependencies, found from its metadata, are copied
from this interpreter's site-packages, and shiv packs them with the source. The
build is reproducible.
"""

import importlib.metadata
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
#: Timestamp of all files in the bundle: 1 January 1980, the earliest in a zip file.
EPOCH = "315532800"


def needed():
    """Return the direct and transitive dependencies of the program."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    found, pending = {}, list(project["dependencies"])
    while pending:
        requirement = pending.pop()
        if "extra ==" in requirement:
            continue
        name = re.match(r"[\w.-]+", requirement)[0].lower().replace("_", "-")
        if name in found:
            continue
        try:
            found[name] = importlib.metadata.distribution(name)
        except importlib.metadata.PackageNotFoundError:
            # Its environment marker does not hold here, so pip did not install it.
            if ";" not in requirement:
                raise
            continue
        pending += found[name].requires or []
    return found.values()


def copy(distribution, folder):
    """Copy a distribution's files except its scripts, caches and tests."""
    for file in distribution.files or []:
        unwanted = {"..", "__pycache__", "tests", "testing"} & set(file.parts)
        if unwanted or file.suffix in (".pyx", ".c", ".h"):
            continue
        if file.name in ("RECORD", "INSTALLER", "REQUESTED"):
            # Records of the installation, which differ between machines.
            continue
        target = folder / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(distribution.locate_file(file), target)


def main():
    """Build the bundle at the path in the first argument."""
    output = pathlib.Path(sys.argv[1]).resolve()
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(scratch)
        for distribution in needed():
            copy(distribution, folder)
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree(ROOT / "src/mangosail", folder / "mangosail", ignore=ignored)
        command = [
            sys.executable, "-m", "shiv", "--site-packages", scratch,
            "--entry-point", "mangosail.__main__:main", "--reproducible",
            "--compressed", "--python", "/usr/bin/env python3.11",
            "--output-file", str(output),
        ]  # fmt: skip
        subprocess.run(command, check=True, env={"SOURCE_DATE_EPOCH": EPOCH})
    print(f"{output.name}: {output.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
