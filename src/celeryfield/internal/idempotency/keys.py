"""Issues, parses and verifies idempotency keys.

A key is printable text that is safe in an HTTP header:
``node~incarnation~issue time~random bits~MAC``. Every node can read the owner
from it, but only the owner has the secret for the MAC.
"""

import base64
import dataclasses
import hmac
import re
import secrets

from expression import Error, Ok, Result

from celeryfield.errors import CeleryfieldError

SECRET_BYTES = 32
MAC_BYTES = 16
RANDOM_BYTES = 9

_NODE_ID = re.compile(r"[A-Za-z0-9.-]{1,128}")
_KEY = re.compile(
    r"(?P<signed>(?P<node>[A-Za-z0-9.-]{1,128})~(?P<incarnation>[0-9a-f]{1,16})"
    r"~(?P<issued>[0-9a-f]{1,16})~[A-Za-z0-9_-]{12})~(?P<mac>[A-Za-z0-9_-]{22})"
)


class LedgerError(CeleryfieldError):
    """Base class of errors of run-once work."""


class InvalidKeyError(LedgerError):
    """A text is not an idempotency key."""


@dataclasses.dataclass(slots=True, frozen=True)
class KeyOwner:
    """The incarnation of a node that issued a key.

    Attributes:
        node_id: Id of the node.
        incarnation: Incarnation of the node.
    """

    node_id: str
    incarnation: int


@dataclasses.dataclass(slots=True, frozen=True)
class ParsedKey:
    """The parts of a key whose MAC has not been checked.

    Attributes:
        owner: Incarnation that the key names.
        issued_ms: Time of the issuer when it issued the key.
        signed: The text that the MAC covers.
        mac: The MAC as text.
    """

    owner: KeyOwner
    issued_ms: int
    signed: str
    mac: str


def parse_key(key: str) -> Result[ParsedKey, InvalidKeyError]:
    """Parses a key without checking its MAC."""
    match = _KEY.fullmatch(key)
    if match is None:
        message = (
            f"{key[:64]!r} is not an idempotency key; send the request without"
            " a key to get one"
        )
        return Error(InvalidKeyError(message))
    owner = KeyOwner(match["node"], int(match["incarnation"], 16))
    issued_ms = int(match["issued"], 16)
    return Ok(ParsedKey(owner, issued_ms, match["signed"], match["mac"]))


def new_secret() -> bytes:
    """Returns the secret of a new incarnation."""
    return secrets.token_bytes(SECRET_BYTES)


def issue_key(owner: KeyOwner, secret: bytes, now_ms: int) -> str:
    """Returns a new key of ``owner``."""
    random_text = secrets.token_urlsafe(RANDOM_BYTES)
    signed = f"{owner.node_id}~{owner.incarnation:x}~{now_ms:x}~{random_text}"
    return f"{signed}~{_compute_mac(secret, signed)}"


def is_authentic(parsed: ParsedKey, secret: bytes) -> bool:
    """Returns whether the key was issued with ``secret``.

    Compares the MACs as text, because several base64 texts decode to the same
    bytes and each key must have only one valid spelling.
    """
    return hmac.compare_digest(parsed.mac, _compute_mac(secret, parsed.signed))


def check_node_id(node_id: str) -> None:
    """Raises ``LedgerError`` if keys cannot carry the node id."""
    if not _NODE_ID.fullmatch(node_id):
        message = (
            f"node id {node_id!r} cannot be part of an idempotency key; use up"
            " to 128 letters, digits, dots and hyphens"
        )
        raise LedgerError(message)


def _compute_mac(secret: bytes, signed: str) -> str:
    digest = hmac.digest(secret, signed.encode("ascii"), "sha256")
    text = base64.urlsafe_b64encode(digest[:MAC_BYTES])
    return text.rstrip(b"=").decode("ascii")
