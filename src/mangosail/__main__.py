"""The program's entry point: makes blocking calls cooperative, then runs."""

# Sockets, locks and threads must be gevent's before anything else is imported;
# a library that took the blocking ones would stop every greenlet of the process.
from gevent import monkey

monkey.patch_all()

from grpc.experimental import gevent as grpc_gevent  # noqa: E402

grpc_gevent.init_gevent()

from mangosail.cli import main as commands  # noqa: E402


def main() -> None:
    """Run the command line."""
    commands.app(prog_name="mangosail")


if __name__ == "__main__":
    main()
