"""Notices that this daemon does not get the changes that its peers have.

Load pattern: a fleet starts at once. A daemon whose listing of the store is
older than the registrations of the others hears them, leaves the store to those
that watch it, and knows no address to fetch their changes from. The same holds
for one whose peers do not reply. Such a daemon follows the store itself until
it has caught up.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import StoreVersion
from trefoilpitch.gateway._log import log_event

# Part of the time in which a configuration has to take effect after which a
# daemon turns to the store. Each daemon adds up to as much again, so that a
# fleet does not do so at once.
_PATIENCE = 0.25


class PeerLag:
    """Measures how long this daemon has lacked what a peer had.

    Args:
        clock: Provides monotonic time.
        rng: Spreads the daemons' calls to the store.
        own: Returns the version of this daemon's view and of its
            configuration.
        apply_ms: Time in which a configuration has to take effect.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        own: Callable[[], tuple[StoreVersion, int]],
        apply_ms: int,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._own = own
        self._apply_ms = apply_ms
        # The newest that any peer has reported.
        self._newest = (StoreVersion(0, 0), 0)
        # What this daemon lacks since a monotonic time, and how long it may.
        # What comes later is another lag: some change is always on its way.
        self._lacking: tuple[StoreVersion, int] | None = None
        self._since_ms = 0
        self._allowed_ms = 0
        self._is_logged = False

    @property
    def behind_ms(self) -> int:
        """Time for which something has been lacking; 0 if nothing is."""
        self._update()
        if self._lacking is None:
            return 0
        return self._clock.now_ms() - self._since_ms

    @property
    def needs_store(self) -> bool:
        """Whether this daemon should follow the store, whatever others do."""
        if self.behind_ms <= self._allowed_ms:
            return False
        if not self._is_logged:
            self._is_logged = True
            log_event("behind_peers", **self._describe())
        return True

    def record(self, version: StoreVersion, configuration: int) -> None:
        """Records what a peer has.

        Args:
            version: Version of its view.
            configuration: Version of its configuration.
        """
        newest, newest_configuration = self._newest
        self._newest = (
            max(newest, version),
            max(newest_configuration, configuration),
        )
        self._update()

    def _update(self) -> None:
        own = self._own()
        if self._lacking is not None and not _lacks(own, self._lacking):
            if self._is_logged:
                log_event("caught_up", **self._describe())
            self._lacking = None
            self._is_logged = False
        if self._lacking is None and _lacks(own, self._newest):
            self._lacking = self._newest
            self._since_ms = self._clock.now_ms()
            spread = 1.0 + self._rng.random()
            self._allowed_ms = int(_PATIENCE * spread * self._apply_ms)

    def _describe(self) -> dict[str, int]:
        version, configuration = self._own()
        newest, newest_configuration = self._newest
        return {
            "behind_ms": self._clock.now_ms() - self._since_ms,
            "revision": version.revision,
            "configuration": configuration,
            "newest_revision": newest.revision,
            "newest_configuration": newest_configuration,
        }


def _lacks(
    own: tuple[StoreVersion, int], other: tuple[StoreVersion, int]
) -> bool:
    return own[0] < other[0] or own[1] < other[1]
