"""Idempotency keys: UUIDs of version 7 (RFC 9562)."""

import random
import uuid

__all__ = ["uuid7"]

RANDOM_BITS = 74
VERSION = 7
VARIANT = 0b10


def uuid7(time_ms: int, rng: random.Random) -> uuid.UUID:
    """Return a UUID of version 7.

    The standard library of Python 3.11 has no generator for this version.

    Parameters
    ----------
    time_ms
        Unix time in ms; the first 48 bits of the UUID.
    rng
        Source of the 74 random bits.

    References
    ----------
    RFC 9562, section 5.7.

    Examples
    --------
    >>> key = uuid7(0x0123456789AB, random.Random(1))
    >>> str(key)[:15], key.version
    ('01234567-89ab-7', 7)
    """
    random_bits = rng.getrandbits(RANDOM_BITS)
    high = (time_ms & (1 << 48) - 1) << 16 | VERSION << 12 | random_bits >> 62
    low = VARIANT << 62 | random_bits & (1 << 62) - 1
    return uuid.UUID(int=high << 64 | low)
