"""Replay protection: recognises frames that were received before."""

from __future__ import annotations

import collections

_WINDOW_FRAMES = 1024
_MAX_SENDERS = 4096


class ReplayFilter:
    """Accepts each sequence number of a sender incarnation once.

    A sliding window per incarnation admits frames out of order; a number below
    the window is refused, since it can't be told from a replay. Above
    ``max_senders``, the window of the incarnation that has not sent for the
    longest time is evicted.

    Args:
        window: Number of sequence numbers, from the highest one received
            downwards, for which receipt is tracked.
        max_senders: Maximum number of incarnations with a window.
    """

    def __init__(
        self, window: int = _WINDOW_FRAMES, max_senders: int = _MAX_SENDERS
    ) -> None:
        self._window = window
        self._max_senders = max_senders
        # For each incarnation, the highest sequence number received and a bit
        # mask of received numbers: bit n stands for the highest one minus n.
        self._windows: collections.OrderedDict[str, tuple[int, int]] = (
            collections.OrderedDict()
        )

    def accept(self, incarnation: str, sequence: int) -> bool:
        """Records a sequence number; returns whether it is new."""
        highest, bits = self._windows.get(incarnation, (0, 0))
        if sequence > highest:
            shift = min(sequence - highest, self._window)
            bits = (bits << shift | 1) & ((1 << self._window) - 1)
            self._store(incarnation, sequence, bits)
            return True
        lag = highest - sequence
        if lag >= self._window or bits >> lag & 1:
            return False
        self._store(incarnation, highest, bits | 1 << lag)
        return True

    def _store(self, incarnation: str, highest: int, bits: int) -> None:
        self._windows[incarnation] = (highest, bits)
        self._windows.move_to_end(incarnation)
        if len(self._windows) > self._max_senders:
            self._windows.popitem(last=False)
