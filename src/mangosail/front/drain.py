"""``POST /v1/drain``: makes this instance do its planned stop."""

import os
import signal

import falcon
import gevent
import logbook

from mangosail import codec
from mangosail.front import context

log = logbook.Logger("front")

#: Seconds in which the answer reaches the caller before the stop begins.
ANSWER_TIME = 0.2


def stop_self() -> None:
    """Stop this process as its supervisor would, by SIGTERM."""
    os.kill(os.getpid(), signal.SIGTERM)


class DrainResource:
    """``POST /v1/drain``: the planned stop, asked for by an operator."""

    def __init__(self, front: context.Front) -> None:
        self.front = front

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Begin the planned stop; callers other than operators are refused."""
        identity = self.front.identify(req)
        if not identity.operator:
            self.front.counters.count("front.refused.not_operator")
            raise falcon.HTTPForbidden(title="not_operator")
        log.info("drain asked for", team=identity.team, token=identity.token)
        gevent.spawn_later(ANSWER_TIME, stop_self)
        resp.status = falcon.HTTP_ACCEPTED
        resp.text = codec.to_json({"draining": True})
