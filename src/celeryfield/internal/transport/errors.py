"""Errors of the transport layer."""

from celeryfield import errors


class TransportError(errors.CeleryfieldError):
    """A message to another node could not be sent or was not answered."""


class UnreachableError(TransportError):
    """No connection to the node could be opened; nothing was sent."""


class ConnectionLostError(TransportError):
    """The connection ended before the answer; the call may have run."""
