"""What peers ask about settings."""

from mangosail.membership import rpc
from mangosail.settings import messages

#: Return the settings changed past what the peer has in force.
SINCE = rpc.Method("settings_since", messages.Since, messages.Delta)
