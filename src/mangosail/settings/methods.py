"""Calls between instances about settings."""

from mangosail.membership import rpc
from mangosail.settings import messages

#: Returns the settings changed after the caller's sequence number.
SINCE = rpc.Method("settings_since", messages.Since, messages.Delta)
