"""What the stand-ins share: a JSON WSGI server."""

import falcon

from mangosail.front import server


def serve(app, address):
    """Serve `app` on `address` until the process is ended."""
    server.create(app, address).serve_forever()


def json_app():
    return falcon.App()
