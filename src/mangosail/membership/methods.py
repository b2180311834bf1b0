"""Peer-to-peer methods of membership."""

from mangosail.membership import messages, rpc

#: Process the sender's state, and return the receiver's.
HEARTBEAT = rpc.Method("heartbeat", messages.Heartbeat, messages.Heartbeat)
