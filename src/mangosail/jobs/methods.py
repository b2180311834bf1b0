"""What peers ask about batch tasks."""

from mangosail.jobs import messages
from mangosail.membership import rpc

#: Take a peer's batch task on if there is room.
OFFER = rpc.Method("offer", messages.Offer, messages.OfferAnswer)
#: Take in what became of a task that the peer took on.
TASK_ENDED = rpc.Method("task_ended", messages.TaskEnded, messages.Acknowledgement)
