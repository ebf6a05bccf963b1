"""Errors of the transport layer."""

from celeryfield import errors


class TransportError(errors.CeleryfieldError):
    """A message could not be exchanged with another node."""


class UnreachableError(TransportError):
    """No connection to the node could be opened; nothing was sent."""


class ConnectionLostError(TransportError):
    """The connection ended before the answer; the call may have run."""
