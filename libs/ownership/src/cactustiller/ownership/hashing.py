"""Stable hash of names, identical on every instance."""

import xxhash


def hash_name(name):
    """Return the 64-bit xxHash of a name."""
    return xxhash.xxh64_intdigest(name.encode())
