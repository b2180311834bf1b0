"""What peers ask about durable work."""

from mangosail.membership import rpc
from mangosail.work import messages

#: Claim a peer's durable work for our own workers.
SUBMIT = rpc.Method("submit_work", messages.ForwardedWork, messages.WorkAnswer)
#: Cancel durable work that we hold.
CANCEL = rpc.Method("cancel_work", messages.CancelWork, messages.WorkAnswer)
