"""Chooses the daemons that relay requests to upstreams.

Load pattern: some or most daemons lose their links to the upstreams for
seconds, and their callers, who keep addresses for a while, go on sending
requests to them. The daemons that still have links carry these requests, each
as many as it has room for.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterator, Mapping

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import FleetView, Member, UpstreamEntry
from trefoilpitch.gateway._peers import Peer, PeerTable
from trefoilpitch.gateway._upstream_digest import upstream_digest
from trefoilpitch.gateway._upstream_links import UpstreamLinks

# For how long a peer is not asked again after it failed to relay a request:
# until then its heartbeats show why.
_AVOID_MS = 1_500
# The same if it refused the request without a trial of its link.
_AVOID_REFUSING_MS = 200
# For how long a relayed response shows that its upstream can be reached.
_PROVEN_MS = 3_000
# Peers that are compared for a request.
_CHOICES = 2


class Relays:
    """The peers that relay this daemon's requests to upstreams.

    Args:
        view: Local copy of the shared fleet state.
        peers: The other daemons.
        links: This daemon's own links.
        clock: Provides monotonic time.
        rng: Source of random numbers.
        failure_domain: Failure domain of this VM.
    """

    def __init__(
        self,
        view: FleetView,
        peers: PeerTable,
        links: UpstreamLinks,
        clock: Clock,
        rng: random.Random,
        *,
        failure_domain: str,
    ) -> None:
        self._view = view
        self._peers = peers
        self._links = links
        self._clock = clock
        self._rng = rng
        self._failure_domain = failure_domain
        # Monotonic times until which peers are avoided, for one upstream or,
        # with None, for all.
        self._avoided_until_ms: dict[tuple[str, str | None], int] = {}
        # Requests of this daemon in flight at each peer.
        self._in_flight: dict[str, int] = {}
        # Monotonic times of the last relayed responses, by upstream.
        self._responded_ms: dict[str, int] = {}

    def is_needed(self, entry: UpstreamEntry) -> bool:
        """Returns whether requests for an upstream go through a peer."""
        return self._is_doubted(entry) and self.is_available(entry)

    def is_available(self, entry: UpstreamEntry) -> bool:
        """Returns whether a peer may reach an upstream."""
        return next(self._usable(entry), None) is not None

    def is_proven(self, entry: UpstreamEntry) -> bool:
        """Returns whether a peer has recently reached an upstream.

        Those that nobody has reached may have ended; they look idle.
        """
        responded_ms = self._responded_ms.get(entry.upstream_id)
        return (
            responded_ms is not None
            and self._clock.now_ms() - responded_ms < _PROVEN_MS
        )

    def choose(
        self,
        entry: UpstreamEntry,
        *,
        forced: bool,
        excluded: Collection[str] = (),
    ) -> Member | None:
        """Returns the peer that relays a request; None to connect directly.

        Args:
            entry: The upstream.
            forced: Whether a peer is used although the own link may be intact.
            excluded: Names of peers that could not relay the request before:
                they may have lost all links in the same moment.
        """
        if not (forced or self._is_doubted(entry)):
            return None
        usable = [m for m in self._usable(entry) if m.name not in excluded]
        near = [
            member
            for member in usable
            if member.failure_domain
            in (self._failure_domain, entry.failure_domain)
        ]
        candidates = near or usable
        if not candidates:
            return None
        sample = self._rng.sample(candidates, min(_CHOICES, len(candidates)))
        return min(sample, key=lambda m: self._in_flight.get(m.name, 0))

    def witnesses(self, entry: UpstreamEntry, limit: int) -> list[Member]:
        """Returns peers that may know whether an upstream is running.

        Those that report it as unreachable come last: either it has ended, or
        they have lost their links to it.
        """
        usable = list(self._usable(entry))
        if len(usable) >= limit:
            return self._rng.sample(usable, limit)
        names = {member.name for member in usable}
        others = [m for m, _ in self._with_room() if m.name not in names]
        chosen = self._rng.sample(usable, len(usable))
        left = min(limit - len(chosen), len(others))
        return [*chosen, *self._rng.sample(others, left)]

    def record_started(self, member: Member) -> None:
        """Counts a request as in flight at a peer."""
        self._in_flight[member.name] = self._in_flight.get(member.name, 0) + 1

    def record_ended(self, member: Member) -> None:
        """Counts a request as no longer in flight at a peer."""
        left = self._in_flight.pop(member.name, 0) - 1
        if left > 0:
            self._in_flight[member.name] = left

    def record_response(self, entry: UpstreamEntry) -> None:
        """Records that an upstream responded through a peer."""
        self._responded_ms[entry.upstream_id] = self._clock.now_ms()

    def avoid(
        self,
        member: Member,
        entry: UpstreamEntry | None,
        *,
        refused: bool = False,
    ) -> None:
        """Records that a peer could not relay a request.

        Args:
            member: The peer.
            entry: The upstream that it could not reach; None if the peer
                itself could not be reached.
            refused: Whether it did not try to reach the upstream.
        """
        now_ms = self._clock.now_ms()
        self._avoided_until_ms = {
            key: until_ms
            for key, until_ms in self._avoided_until_ms.items()
            if until_ms > now_ms
        }
        key = member.name, entry.upstream_id if entry is not None else None
        duration_ms = _AVOID_REFUSING_MS if refused else _AVOID_MS
        self._avoided_until_ms[key] = now_ms + duration_ms

    def retain(self, upstream_ids: Mapping[str, object]) -> None:
        """Drops the records of all other upstreams."""
        self._responded_ms = {
            upstream_id: time_ms
            for upstream_id, time_ms in self._responded_ms.items()
            if upstream_id in upstream_ids
        }

    def _is_doubted(self, entry: UpstreamEntry) -> bool:
        return self._links.all_doubted or self._links.is_lost(entry.upstream_id)

    def _usable(self, entry: UpstreamEntry) -> Iterator[Member]:
        """Yields the peers that may relay a request to an upstream."""
        now_ms = self._clock.now_ms()
        digest = upstream_digest(entry.upstream_id)
        for member, peer in self._with_room():
            if (
                digest not in peer.heartbeat.unreachable
                and not self._is_avoided(member.name, entry.upstream_id, now_ms)
            ):
                yield member

    def _with_room(self) -> Iterator[tuple[Member, Peer]]:
        """Yields the peers that relay requests."""
        now_ms = self._clock.now_ms()
        for name, peer in self._peers.alive().items():
            member = self._view.members.get(name)
            if (
                member is not None
                and _offers_relay(member, peer)
                and not self._is_avoided(name, None, now_ms)
            ):
                yield member, peer

    def _is_avoided(
        self, name: str, upstream_id: str | None, now_ms: int
    ) -> bool:
        return now_ms < self._avoided_until_ms.get((name, upstream_id), 0)


def _offers_relay(member: Member, peer: Peer) -> bool:
    heartbeat = peer.heartbeat
    return (
        heartbeat.ready
        and heartbeat.relay_room > 0
        and heartbeat.incarnation == member.incarnation
    )
