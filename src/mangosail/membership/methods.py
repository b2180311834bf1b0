"""What peers ask of membership."""

from mangosail.membership import messages, rpc

#: Take in a peer's state and return our own.
HEARTBEAT = rpc.Method("heartbeat", messages.Heartbeat, messages.Heartbeat)
