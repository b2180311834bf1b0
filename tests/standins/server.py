"""What the stand-ins share: a JSON WSGI server and their command lines."""

import falcon
from gevent import pywsgi


def serve(app, address):
    """Serve `app` on `address` until the process is ended."""
    host, _, port = address.rpartition(":")
    pywsgi.WSGIServer((host, int(port)), app, log=None, error_log=None).serve_forever()


def json_app():
    return falcon.App()
