"""Access control of the administration API."""

import hashlib
import hmac
import ipaddress
import re

from celeryfield import errors
from celeryfield.internal.schema import settings as settings_schema

_SCHEME = "Bearer "
_SHA256 = re.compile(r"[0-9a-fA-F]{64}")


def check_access_settings(settings: settings_schema.NodeSettings) -> None:
    """Checks that the settings restrict access and that tokens can match.

    Raises:
        SettingsError: The listener is not on a loopback address and there are
            no tokens, or an entry is not a SHA-256 hash.
    """
    for number, token_hash in enumerate(settings.admin.token_hashes, start=1):
        if not _SHA256.fullmatch(token_hash):
            # The value may be a plain token pasted by mistake, so the message
            # must not contain it.
            raise errors.SettingsError(
                f"[admin] token_hashes: entry {number} is not a SHA-256 hash "
                "of 64 hex digits; create one: printf %s TOKEN | sha256sum"
            )
    address = settings.listen.admin_address
    if settings.admin.token_hashes or is_loopback(address):
        return
    raise errors.SettingsError(
        f"[listen] admin_address = {address} requires [admin] token_hashes; "
        "set at least one SHA-256 hash or listen on 127.0.0.1"
    )


def is_loopback(address: str | None) -> bool:
    """Returns whether an address is a loopback address."""
    try:
        return ipaddress.ip_address(address or "").is_loopback
    except ValueError:
        return False


def is_authorized(
    settings: settings_schema.AdminSettings, authorization: str | None
) -> bool:
    """Returns whether an ``Authorization`` header contains a valid token.

    Without token hashes in the settings, every request is authorized.
    """
    if not settings.token_hashes:
        return True
    if authorization is None or not authorization.startswith(_SCHEME):
        return False
    token = authorization.removeprefix(_SCHEME)
    digest = hashlib.sha256(token.encode()).hexdigest()
    # All hashes are compared, so that the response time does not reveal which
    # one matches.
    matches = [
        hmac.compare_digest(digest, accepted.lower())
        for accepted in settings.token_hashes
    ]
    return any(matches)
