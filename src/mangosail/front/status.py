"""``/v1/status``, ``/v1/instances``, ``/healthz`` and ``/readyz``."""

import typing as t

import falcon
import gevent
import result

from mangosail import codec
from mangosail.front import context, messages, methods
from mangosail.membership import peers as membership

#: Timeout in seconds for fetching a peer's status.
DESCRIBE_TIMEOUT_S = 1.0


class StatusResource:
    """``GET /v1/status``: the status of this instance."""

    def __init__(self, front: context.Front) -> None:
        self.front = front

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the status."""
        self.front.authenticate(req)
        resp.text = codec.to_json(self.front.describe())


class InstancesResource:
    """``GET /v1/instances``: the current status of all instances.

    Peers are queried on each request, which keeps heartbeats small.
    """

    def __init__(self, front: context.Front) -> None:
        self.front = front

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the status of all instances, or of those in one data centre."""
        self.front.authenticate(req)
        wanted = req.get_param("data_centre")
        asked = [
            gevent.spawn(self._describe, peer)
            for peer in list(self.front.peers.by_name.values())
            if wanted in (None, peer.listed.data_centre)
        ]
        own = self.front.describe()
        found = [own] if wanted in (None, own["data_centre"]) else []
        found += [task.get() for task in asked]
        found.sort(key=lambda one: (one["data_centre"], one["instance"]))
        resp.text = codec.to_json({"instances": found})

    def _describe(self, peer: membership.Peer) -> dict[str, t.Any]:
        request = messages.DescribeRequest(self.front.peers.own_name)
        answer = peer.channel.call(methods.DESCRIBE, request, DESCRIBE_TIMEOUT_S)
        if isinstance(answer, result.Ok):
            return codec.from_json(answer.ok_value.text, dict)
        self.front.counters.count("front.describe_failed")
        return {
            "instance": peer.listed.name,
            "data_centre": peer.listed.data_centre,
            "reachable": False,
        }


class HealthResource:
    """``GET /healthz``: liveness; the process is running."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return 200 always."""
        resp.text = '{"healthy": true}'


class ReadyResource:
    """``GET /readyz``: readiness; the load balancer may send requests here."""

    def __init__(self, front: context.Front) -> None:
        self.front = front

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return 200 while new requests are accepted, else 503."""
        ready = self.front.ready and not self.front.draining
        if not ready:
            resp.status = falcon.HTTP_SERVICE_UNAVAILABLE
        resp.text = codec.to_json({"ready": ready})
