"""Which daemons share the fleet's limits, as far as this daemon knows.

Load pattern: after an outage of the store that is longer than the daemons'
leases, or a start of all daemons during one, the store lists nobody. That shows
only that no entry was renewed. A daemon that took itself for the only one would
use the whole fleet's limits, and so would all others.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import FleetView
from trefoilpitch.gateway._peers import PeerTable

# Members that a daemon presumes while it knows no other: more than a fleet has,
# so that its share of any limit is close to zero.
_PRESUMED_MEMBERS = frozenset(f"presumed-{n}" for n in range(256))
# Time for which a store that responds must list no other daemon, and none must
# be heard, until this one takes itself for the only one. Daemons write a lost
# entry again within two seconds, at the latest with the renewal after 8 s.
_ALONE_AFTER_MS = 10_000


class KnownMembers:
    """The daemons among which the fleet's limits are divided.

    Args:
        view: Lists the daemons that have an entry or are heard.
        peers: The daemons that are heard.
        clock: Provides monotonic time.
        own_name: Name of this VM.
        expects_peers: Whether the settings name other daemons.
        is_current: Returns whether the store has confirmed the view recently.
    """

    def __init__(
        self,
        view: FleetView,
        peers: PeerTable,
        clock: Clock,
        *,
        own_name: str,
        expects_peers: bool,
        is_current: Callable[[], bool],
    ) -> None:
        self._view = view
        self._peers = peers
        self._clock = clock
        self._own_name = own_name
        self._expects_peers = expects_peers
        self._is_current = is_current
        self._has_heard = False
        # Since when the store has responded while no peer was heard.
        self._unheard_since_ms: int | None = None

    @property
    def are_uncertain(self) -> bool:
        """Whether there are probably other daemons that are not known."""
        if self._peers.alive():
            self._has_heard = True
            self._unheard_since_ms = None
            return False
        if not (self._expects_peers or self._has_heard):
            return False
        if self._has_heard and self._view.members.keys() - {self._own_name}:
            # Cut off from the peers, but the store says how many there are.
            return False
        now_ms = self._clock.now_ms()
        if self._unheard_since_ms is None or not self._is_current():
            self._unheard_since_ms = now_ms
        return now_ms - self._unheard_since_ms < _ALONE_AFTER_MS

    @property
    def may_decide(self) -> bool:
        """Whether this daemon knows enough to decide for the fleet.

        One that hears nobody although the store lists others does not: that it
        has heard of no failure shows nothing.
        """
        if self._peers.alive():
            return True
        others = self._view.members.keys() - {self._own_name}
        return not others and not self.are_uncertain

    def names(self) -> Collection[str]:
        """Returns the names of all daemons that may be running.

        While others are not known, names are presumed for them.
        """
        known = {self._own_name, *self._view.members, *self._peers.alive()}
        if self.are_uncertain:
            return known | _PRESUMED_MEMBERS
        return known
