"""Starts a process on the platform.

A script inside the package would put the package's folder on the import path, where
its `platform` hides the module of the standard library.
"""

# Must run before other imports, so that they get gevent's sockets and sleeps.
from gevent import monkey

monkey.patch_all()

import pathlib  # noqa: E402
import sys  # noqa: E402

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "src"))

from mangosail.platform import process  # noqa: E402

if __name__ == "__main__":
    process.main()
