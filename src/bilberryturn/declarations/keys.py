"""Hash caller keys so that no key is stored, forwarded or logged."""

import hashlib
import secrets

HASH_BYTES = 16
KEY_RANDOM_BYTES = 24
KEY_PREFIX = "bt_"
MAX_KEY_CHARACTERS = 200


class KeyHasher:
    """Computes keyed hashes of caller keys."""

    def __init__(self, secret: str):
        self._secret = hashlib.sha256(secret.encode()).digest()

    def hash(self, key: str) -> str:
        """Return the hash under which a key is declared."""
        return hashlib.blake2b(
            key[:MAX_KEY_CHARACTERS].encode(),
            key=self._secret,
            digest_size=HASH_BYTES,
        ).hexdigest()


def new_key() -> str:
    """Return a new random key."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_RANDOM_BYTES)
