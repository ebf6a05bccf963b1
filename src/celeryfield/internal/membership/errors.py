"""Errors of the membership layer."""

from celeryfield.errors import CeleryfieldError


class MembershipError(CeleryfieldError):
    """A membership operation failed."""


class DatagramError(MembershipError):
    """A datagram that is malformed, oversized or not authenticated."""
