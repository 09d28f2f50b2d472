"""API keys of teams and operators."""

import hmac
import re
import secrets
from enum import StrEnum
from hashlib import blake2b

from result import Err, Ok, Result

from cactustiller.model import KeyId

from .tree import SettingsTree, StoredKey

SECRET_BYTES = 32
SALT_BYTES = 16
KEY_ID_BYTES = 8
KEY_TEXT_PATTERN = re.compile(r"ct_([0-9a-f]{16})_([0-9a-f]{64})")


class KeyRecord(StoredKey):
    """Stored key with its id."""

    key_id: KeyId


class KeyRefusal(StrEnum):
    """Reason why a presented key is refused."""

    MALFORMED = "malformed key"
    UNKNOWN = "unknown key"
    WITHDRAWN = "withdrawn key"


def create_key(
    team: str | None, name: str, operator: bool, now: float
) -> tuple[KeyRecord, str]:
    """Return the record of a new key and its text ``ct_<key id>_<secret>``.

    The record has only a salted hash of the secret; `now` is in Unix seconds.
    """
    key_id, secret = secrets.token_hex(KEY_ID_BYTES), secrets.token_hex(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    record = KeyRecord(
        key_id=KeyId(key_id),
        team=team,
        name=name,
        operator=operator,
        salt=salt,
        digest=_hash_secret(secret, salt),
        created_at=float(now),
    )
    return record, f"ct_{key_id}_{secret}"


def verify_key(tree: SettingsTree, presented: str) -> Result[KeyRecord, KeyRefusal]:
    """Return the key whose text is `presented`.

    An unknown id takes as long as a wrong secret, to resist timing attacks.
    """
    found = KEY_TEXT_PATTERN.fullmatch(presented)
    if found is None:
        return Err(KeyRefusal.MALFORMED)
    key_id, secret = found.groups()
    key = tree.keys.get(key_id)
    salt, digest = (key.salt, key.digest) if key else ("00" * SALT_BYTES, "00" * 64)
    matches = hmac.compare_digest(_hash_secret(secret, salt), digest)
    if key is None or not matches:
        return Err(KeyRefusal.UNKNOWN)
    if key.withdrawn_at:
        return Err(KeyRefusal.WITHDRAWN)
    return Ok(KeyRecord(key_id=KeyId(key_id), **key.model_dump()))


def _hash_secret(secret, salt):
    return blake2b(secret.encode(), salt=bytes.fromhex(salt)).hexdigest()
