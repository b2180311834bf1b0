"""The base class of all exceptions raised by mangosail.

Errors that a caller is expected to handle are returned as ``result.Err`` values and are
frozen data classes of the package they belong to. Exceptions are reserved for bugs in
the program and mistakes in its process settings.
"""


class MangosailError(Exception):
    """Base of all exceptions raised by mangosail."""


class ConfigurationError(MangosailError):
    """A process setting is missing or invalid; the message names it."""
