"""Errors of the membership layer."""

from celeryfield.errors import CeleryfieldError


class MembershipError(CeleryfieldError):
    """Membership cannot do what it was asked to do."""


class DatagramError(MembershipError):
    """A datagram that is malformed, oversized or not authenticated."""
