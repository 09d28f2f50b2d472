"""Stable hash of names, the same on every instance."""

import xxhash


def hash_name(name):
    """Return the 64-bit hash of a text."""
    return xxhash.xxh64_intdigest(name.encode())
