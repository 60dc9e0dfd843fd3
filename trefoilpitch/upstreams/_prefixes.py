"""Hashes prompt prefixes in the way that engines report them."""

from __future__ import annotations

import xxhash


def prompt_prefix_hash(first_message: str) -> str:
    """Returns the hash under which engines report a prompt's prefix.

    Args:
        first_message: Text of the conversation's first message.
    """
    return xxhash.xxh64_hexdigest(first_message.encode())
