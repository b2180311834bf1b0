"""Peer methods for batch tasks."""

from mangosail.jobs import messages
from mangosail.membership import rpc

#: Offer a batch task to a peer, which accepts it if it has capacity.
OFFER = rpc.Method("offer", messages.Offer, messages.OfferAnswer)
#: Report the end of an accepted task to the holder of its job.
TASK_ENDED = rpc.Method("task_ended", messages.TaskEnded, messages.Acknowledgement)
