"""Peer methods for durable work."""

from mangosail.membership import rpc
from mangosail.work import messages

#: Claim a peer's durable work for an own worker.
SUBMIT = rpc.Method("submit_work", messages.ForwardedWork, messages.WorkAnswer)
#: Tell how a generation ended, if that is known here and not in the table.
FIND_END = rpc.Method("find_end", messages.Generation, messages.FoundEnd)
#: Keep an end that the caller can't write, and write it.
KEEP_END = rpc.Method("keep_end", messages.End, messages.EndKept)
#: Cancel durable work that the called instance holds.
CANCEL = rpc.Method("cancel_work", messages.CancelWork, messages.WorkAnswer)
