"""``/v1/status``, ``/healthz`` and ``/readyz``."""

import falcon

from mangosail import codec
from mangosail.front import context


class StatusResource:
    """``GET /v1/status``: what this instance knows of itself."""

    def __init__(self, front: context.Front) -> None:
        self.front = front

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the status."""
        self.front.identify(req)
        resp.text = codec.to_json(self.front.describe())


class HealthResource:
    """``GET /healthz``: the process runs."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return 200 always."""
        resp.text = '{"healthy": true}'


class ReadyResource:
    """``GET /readyz``: the balancer may send callers here."""

    def __init__(self, front: context.Front) -> None:
        self.front = front

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return 200 while new requests are welcome, else 503."""
        if not self.front.ready:
            resp.status = falcon.HTTP_SERVICE_UNAVAILABLE
        resp.text = codec.to_json({"ready": self.front.ready})
