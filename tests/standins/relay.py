"""TCP relay that can simulate a network partition between two processes.

It runs in threads of the test. After ``relay.cut()`` connections stay open but no data
is forwarded, as with packet loss; new connections are accepted but not served. After
``relay.refuse()`` all connections are reset, and new ones are closed at once.
"""

import socket
import struct
import threading


class Relay:
    def __init__(self, destination):
        host, _, port = destination.rpartition(":")
        self.destination = (host, int(port))
        self.flowing = threading.Event()
        self.flowing.set()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.open = set()
        self.refusing = False
        threading.Thread(target=self.accept, daemon=True).start()

    def reset(self):
        """Reset all open connections."""
        for sock in list(self.open):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            sock.close()

    def refuse(self):
        self.refusing = True
        self.reset()

    def accept_again(self):
        self.refusing = False

    def cut(self):
        self.flowing.clear()

    def heal(self):
        self.flowing.set()

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            if self.refusing:
                near.close()
                continue
            self.open.add(near)
            threading.Thread(target=self.connect, args=(near,), daemon=True).start()

    def connect(self, near):
        self.flowing.wait()
        try:
            far = socket.create_connection(self.destination, timeout=5)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for source, sink in ((near, far), (far, near)):
            threading.Thread(
                target=self.pass_on, args=(source, sink), daemon=True
            ).start()

    def pass_on(self, source, sink):
        try:
            while data := source.recv(65536):
                self.flowing.wait()
                sink.sendall(data)
        except OSError:
            pass
        source.close()
        sink.close()
        self.open -= {source, sink}
