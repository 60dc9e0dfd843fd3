"""How long a daemon may lack what its peers have."""

from __future__ import annotations

import random

from trefoilpitch.clock import ManualClock
from trefoilpitch.fleet import StoreVersion
from trefoilpitch.gateway._peer_lag import PeerLag

_APPLY_MS = 2_000


class _Daemon:
    def __init__(self, seed: int = 1) -> None:
        self.clock = ManualClock(5_000)
        self.own = (StoreVersion(1, 10), 3)
        self.lag = PeerLag(
            self.clock, random.Random(seed), lambda: self.own, _APPLY_MS
        )

    def hear(self, revision: int, configuration: int = 3, era: int = 1) -> None:
        self.lag.record(StoreVersion(era, revision), configuration)


def _needs_store_after_ms(daemon: _Daemon) -> int:
    waited_ms = 0
    while not daemon.lag.needs_store:
        daemon.clock.advance(10)
        waited_ms += 10
        assert waited_ms <= _APPLY_MS
    return waited_ms


def test_daemon_that_stays_behind_turns_to_the_store_until_it_is_not() -> None:
    daemon = _Daemon()
    daemon.hear(10)
    assert daemon.lag.behind_ms == 0
    daemon.hear(12)
    assert 500 <= _needs_store_after_ms(daemon) <= 1_010
    daemon.own = (StoreVersion(1, 12), 3)
    assert not daemon.lag.needs_store
    assert daemon.lag.behind_ms == 0


def test_newer_configuration_or_era_counts_as_well() -> None:
    for era, configuration in ((1, 4), (2, 3)):
        daemon = _Daemon()
        daemon.hear(2, configuration, era)
        assert _needs_store_after_ms(daemon) <= 1_010


def test_daemon_that_follows_a_stream_of_changes_leaves_the_store() -> None:
    """It is always some changes behind, and each of them only for a moment."""
    daemon = _Daemon()
    for revision in range(11, 200):
        daemon.hear(revision)
        daemon.clock.advance(50)
        assert not daemon.lag.needs_store
        daemon.own = (StoreVersion(1, revision - 4), 3)
        daemon.clock.advance(50)


def test_daemons_of_a_fleet_turn_to_the_store_one_after_the_other() -> None:
    waits_ms = []
    for seed in range(390):
        daemon = _Daemon(seed)
        daemon.hear(400)
        waits_ms.append(_needs_store_after_ms(daemon))
    # Far fewer than the 2,000 calls in a second that the store takes.
    for start_ms in range(500, 1_000, 100):
        assert sum(start_ms <= w < start_ms + 100 for w in waits_ms) < 130
