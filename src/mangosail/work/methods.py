"""Peer methods for durable work."""

from mangosail.membership import rpc
from mangosail.work import messages

#: Claim a peer's durable work for an own worker.
SUBMIT = rpc.Method("submit_work", messages.ForwardedWork, messages.WorkAnswer)
#: Cancel durable work that the called instance holds.
CANCEL = rpc.Method("cancel_work", messages.CancelWork, messages.WorkAnswer)
