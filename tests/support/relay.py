"""A TCP relay that closes its first connection after some bytes of the answer."""

import socket
import threading


class Relay:
    """Forwards connections to `backend` and truncates only the first answer."""

    def __init__(self, backend, cut_after):
        self.backend = backend
        self.cut_after = cut_after
        self.accepted = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            self.accepted += 1
            limit = self.cut_after if self.accepted == 1 else None
            threading.Thread(
                target=self.relay, args=(caller, limit), daemon=True
            ).start()

    def relay(self, caller, limit):
        host, _, port = self.backend.rpartition(":")
        server = socket.create_connection((host, int(port)))
        upstream = threading.Thread(target=copy, args=(caller, server), daemon=True)
        upstream.start()
        copy(server, caller, limit)
        for end in (caller, server):
            end.close()

    def close(self):
        self.listener.close()


def copy(source, sink, limit=None):
    """Copy bytes until the source ends or `limit` bytes were copied."""
    try:
        while limit != 0 and (data := source.recv(min(limit or 65536, 65536))):
            sink.sendall(data)
            limit = None if limit is None else limit - len(data)
        sink.shutdown(socket.SHUT_RDWR if limit == 0 else socket.SHUT_WR)
    except OSError:
        pass
