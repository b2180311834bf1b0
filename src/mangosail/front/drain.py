"""``POST /v1/drain``: makes this instance do its planned stop."""

import os
import signal

import falcon
import gevent
import logbook

from mangosail import codec
from mangosail.front import settings

log = logbook.Logger("front")

#: Seconds in which the answer reaches the caller before the stop begins.
STOP_DELAY_S = 0.2


def stop_self() -> None:
    """Stop this process as its supervisor would, by SIGTERM."""
    os.kill(os.getpid(), signal.SIGTERM)


class DrainResource:
    """``POST /v1/drain``: the planned stop, asked for by the administrator.

    An instance serves all teams, so no team's operator may stop it.
    """

    def __init__(self, administration: settings.Administration) -> None:
        self.administration = administration

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Begin the planned stop; others than the administrator are refused."""
        if not self.administration.is_administrator(req):
            self.administration.front.authenticate(req)
            raise falcon.HTTPForbidden(title="not_administrator")
        log.info("drain asked for")
        gevent.spawn_later(STOP_DELAY_S, stop_self)
        resp.status = falcon.HTTP_ACCEPTED
        resp.text = codec.to_json({"draining": True})
