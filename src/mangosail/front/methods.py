"""What peers ask of the front door."""

from mangosail.front import messages
from mangosail.membership import rpc

#: Serve a request from our own workers only.
FORWARD = rpc.Method("forward", messages.Forwarded, messages.ForwardedAnswer)
#: Return our status for a peer's operator.
DESCRIBE = rpc.Method("describe_to", messages.DescribeRequest, messages.Description)
