"""Starts a process on the platform; kept out of the package so that the package's
folder is not on the import path, where its `platform` would hide the library's."""

# Sockets and sleeps must be gevent's before anything else is imported.
from gevent import monkey

monkey.patch_all()

import pathlib  # noqa: E402
import sys  # noqa: E402

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "src"))

from mangosail.platform import process  # noqa: E402

if __name__ == "__main__":
    process.main()
