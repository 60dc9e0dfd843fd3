"""Recognises frames that were received before."""

from __future__ import annotations

import collections

_WINDOW_FRAMES = 1024
_MAX_SENDERS = 4096


class ReplayFilter:
    """Accepts each sequence number of a sender incarnation once.

    A sliding window per incarnation admits frames out of order; a number below
    the window is refused, since it can't be told from a replay. The least
    recently heard incarnation is forgotten once too many are known.

    Args:
        window: How far a frame may lag behind the newest of its sender.
        max_senders: How many incarnations are remembered.
    """

    def __init__(
        self, window: int = _WINDOW_FRAMES, max_senders: int = _MAX_SENDERS
    ) -> None:
        self._window = window
        self._max_senders = max_senders
        # Highest sequence and a bit per older sequence, newest lowest.
        self._seen: collections.OrderedDict[str, tuple[int, int]] = (
            collections.OrderedDict()
        )

    def accept(self, incarnation: str, sequence: int) -> bool:
        """Tells whether a frame is new, and remembers it."""
        highest, bits = self._seen.get(incarnation, (0, 0))
        if sequence > highest:
            shift = min(sequence - highest, self._window)
            bits = (bits << shift | 1) & ((1 << self._window) - 1)
            self._remember(incarnation, sequence, bits)
            return True
        lag = highest - sequence
        if lag >= self._window or bits >> lag & 1:
            return False
        self._remember(incarnation, highest, bits | 1 << lag)
        return True

    def _remember(self, incarnation: str, highest: int, bits: int) -> None:
        self._seen[incarnation] = (highest, bits)
        self._seen.move_to_end(incarnation)
        if len(self._seen) > self._max_senders:
            self._seen.popitem(last=False)
