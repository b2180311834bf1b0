"""Peer-to-peer methods of the HTTP front end."""

from mangosail.front import messages
from mangosail.membership import rpc

#: Serve a forwarded request on the receiving instance's own workers only.
FORWARD = rpc.Method("forward", messages.Forwarded, messages.ForwardedAnswer)
#: Return the receiving instance's status.
DESCRIBE = rpc.Method("describe_to", messages.DescribeRequest, messages.Description)
