"""``POST /v1/drain``: starts the planned shutdown of this instance."""

import os
import signal

import falcon
import gevent
import logbook

from mangosail import codec
from mangosail.front import settings

log = logbook.Logger("front")

#: Seconds between the response and the shutdown, so that the caller receives it.
STOP_DELAY_S = 0.2


def stop_self() -> None:
    """Send this process SIGTERM, as its supervisor does to stop it."""
    os.kill(os.getpid(), signal.SIGTERM)


class DrainResource:
    """``POST /v1/drain``: a planned shutdown requested by the administrator.

    An instance serves all teams, so the operators of a team may not stop it.
    """

    def __init__(self, administration: settings.Administration) -> None:
        self.administration = administration

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Start the planned shutdown; others than the administrator are refused."""
        if not self.administration.is_administrator(req):
            self.administration.front.authenticate(req)
            raise falcon.HTTPForbidden(title="not_administrator")
        log.info("drain requested")
        gevent.spawn_later(STOP_DELAY_S, stop_self)
        resp.status = falcon.HTTP_ACCEPTED
        resp.text = codec.to_json({"draining": True})
