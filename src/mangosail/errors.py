"""The common base of every error that mangosail raises.

Errors that a caller is expected to handle travel as ``result.Err`` values and
are frozen data classes of the layer they belong to. Exceptions are kept for
faults in the program or its process settings.
"""


class MangosailError(Exception):
    """Base of all exceptions raised by mangosail."""


class ConfigurationError(MangosailError):
    """A process setting is missing or wrong; the message names it."""
