"""Identities of processes."""

from __future__ import annotations

import random

from trefoilpitch.clock import Clock

_NONCE_BITS = 32


def create_incarnation(clock: Clock, entropy: random.Random) -> str:
    """Returns a new process incarnation.

    Later incarnations of one VM sort higher, as far as wall clocks agree; the
    random part keeps two starts in one millisecond apart.

    Args:
        clock: Tells the wall time of the start.
        entropy: ``random.SystemRandom()`` outside tests.
    """
    nonce = entropy.getrandbits(_NONCE_BITS)
    return f"{clock.wall_ms():012x}-{nonce:08x}"
