"""The versions that the engine stand-in has loaded, and orders about them."""

from __future__ import annotations

from collections.abc import Iterable

from trefoilpitch.clock import Clock


class LoadedVersions:
    """Versions by when they begin to serve; the caller locks.

    Args:
        names: Versions that serve from the start.
        clock: Times loading.
    """

    def __init__(self, names: Iterable[str], clock: Clock) -> None:
        self._ready_ms = dict.fromkeys(names, clock.now_ms())
        self._clock = clock
        self._highest_fencing = 0

    @property
    def serving(self) -> list[str]:
        """The versions that serve now."""
        now_ms = self._clock.now_ms()
        return sorted(
            name
            for name, ready_ms in self._ready_ms.items()
            if ready_ms <= now_ms
        )

    def accept_fencing(self, number: int, *, checked: bool) -> bool:
        """Whether an order with this fencing number is to be carried out."""
        if checked and number < self._highest_fencing:
            return False
        self._highest_fencing = max(self._highest_fencing, number)
        return True

    def load(self, name: str, load_ms: int) -> None:
        """Loads a version; it serves once the time to load has passed."""
        self._ready_ms.setdefault(name, self._clock.now_ms() + load_ms)

    def unload(self, name: str) -> None:
        """Unloads a version; answers under way go on."""
        self._ready_ms.pop(name, None)
