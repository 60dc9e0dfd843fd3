"""Loaded versions and fencing of orders of the engine stand-in."""

from __future__ import annotations

from collections.abc import Iterable

from trefoilpitch.clock import Clock


class LoadedVersions:
    """The loaded versions and the highest fencing number seen.

    Not thread-safe; the caller holds a lock.

    Args:
        names: Versions that are loaded from the start.
        clock: Times the loading of versions.
    """

    def __init__(self, names: Iterable[str], clock: Clock) -> None:
        self._ready_ms = dict.fromkeys(names, clock.now_ms())
        self._clock = clock
        self._highest_fencing = 0

    @property
    def serving(self) -> list[str]:
        """The versions whose loading has completed, sorted."""
        now_ms = self._clock.now_ms()
        return sorted(
            name
            for name, ready_ms in self._ready_ms.items()
            if ready_ms <= now_ms
        )

    def accept_fencing_number(self, number: int, *, checked: bool) -> bool:
        """Whether to execute an order with this fencing number.

        Args:
            number: The order's fencing number.
            checked: Whether to refuse numbers below the highest seen.
        """
        if checked and number < self._highest_fencing:
            return False
        self._highest_fencing = max(self._highest_fencing, number)
        return True

    def load(self, name: str, load_ms: int) -> None:
        """Starts to load a version; a version already loaded is unchanged."""
        self._ready_ms.setdefault(name, self._clock.now_ms() + load_ms)

    def unload(self, name: str) -> None:
        """Unloads a version."""
        self._ready_ms.pop(name, None)
