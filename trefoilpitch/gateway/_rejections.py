"""Keeps the fleet's rejections at an upstream below what it withstands.

Load pattern: upstreams of a service announce that they fall over if they have
to reject more than some requests in a second, and then let fewer requests
wait. A burst, a hot prefix or the traffic of an upstream that has just fallen
comes to all daemons at once, each of which knows the load of the others as of
their last heartbeats.

A daemon may have its share of such an upstream's room in flight; the shares of
all daemons add up to the room, and follow the demand where it is uneven. It may
have more while the upstream is not nearly full, but only a part more than at
its last look, so that what all daemons add between two heartbeats stays within
what is left. A rejection lowers the room that the daemon assumes, and ends its
requests for a time that is long enough for all daemons together to stay below
the limit.
"""

from __future__ import annotations

import dataclasses
import math
import zlib
from collections.abc import Collection, Mapping

from trefoilpitch.clock import Clock
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._peers import heartbeat_interval_ms
from trefoilpitch.gateway._room_shares import leveled_demands, share

# For how long an announcement holds without another one.
_EXPIRY_MS = 10_000
# Which daemons get the parts of free places changes after this time.
_DRAW_PERIOD_MS = 1_000
# Places that are kept from being used beyond the shares, as multiples of the
# square root of their number: alone, and divided by the limit.
_MARGIN = 0.5
_LIMIT_MARGIN = 2.0
# Fraction of the free places that is given to daemons in proportion to what
# they have in flight; the rest is given in equal parts.
_PROPORTIONAL = 0.5
# Fraction of the limit that the daemons together may use up, and the bounds of
# the time without requests after a rejection.
_LIMIT_SHARE = 0.5
_MIN_PAUSE_MS = 250
_MAX_PAUSE_MS = 10_000
# What remains of the assumed room after a rejection, and its growth.
_ROOM_AFTER_REJECTION = 0.8
_ROOM_GROWTH_PER_S = 0.05
_MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Announcement:
    # Rejections in a second that an upstream withstands; None for no limit.
    limit_per_s: int | None
    heard_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Share:
    """This daemon's share of an upstream's places, and its inputs."""

    demands: Mapping[str, int]
    places: int
    own: int


@dataclasses.dataclass(slots=True)
class _Room:
    """What a daemon assumes of one upstream, and what it has sent there."""

    # Monotonic time of the last look, and the requests in flight then.
    looked_ms: int
    in_flight: int
    # Fraction of the slots, and the monotonic time of its last change.
    fraction: float = 1.0
    changed_ms: int = 0
    closed_until_ms: int = 0


class RejectionLimits:
    """The limits that upstreams have announced, and how they are kept.

    Args:
        clock: Provides monotonic time.
        own_name: Name of this VM.
    """

    def __init__(self, clock: Clock, own_name: str) -> None:
        self._clock = clock
        self._own_name = own_name
        self._by_upstream: dict[str, _Announcement] = {}
        # What own responses and peers say of any upstream of a service.
        self._by_service: dict[str, _Announcement] = {}
        self._by_peers: dict[str, _Announcement] = {}
        self._rooms: dict[str, _Room] = {}
        self._shares: dict[str, _Share] = {}

    def announce(
        self, service: str, upstream_id: str, limit_per_s: int | None
    ) -> None:
        """Records what a response of an upstream says.

        Args:
            service: The upstream's service.
            upstream_id: The upstream.
            limit_per_s: Rejections in a second that it withstands; None if it
                announces no limit.
        """
        now_ms = self._clock.now_ms()
        known = self._by_upstream.get(upstream_id)
        if (
            limit_per_s is None
            and known is None
            and self._limit_of_service(service) is None
        ):
            return
        if known is None or known.limit_per_s != limit_per_s:
            log_event(
                "rejection_limit", upstream=upstream_id, per_s=limit_per_s
            )
        announcement = _Announcement(limit_per_s, now_ms)
        self._by_upstream[upstream_id] = announcement
        if limit_per_s is not None:
            self._by_service[service] = announcement
        elif known is not None and known.limit_per_s is not None:
            self._by_service.pop(service, None)
            self._by_peers.pop(service, None)

    def adopt(self, limits: Mapping[str, int]) -> None:
        """Records what peers have heard of services."""
        for service, limit_per_s in limits.items():
            self._by_peers[service] = _Announcement(
                limit_per_s, self._clock.now_ms()
            )

    def announced(self) -> dict[str, int]:
        """Returns the limits that own responses have announced, by service."""
        return {
            service: announcement.limit_per_s
            for service, announcement in self._by_service.items()
            if announcement.limit_per_s is not None
            and self._is_recent(announcement)
        }

    def limit_per_s(self, service: str, upstream_id: str) -> int | None:
        """Returns how many rejections in a second an upstream withstands.

        One that has not responded lately, as it has just started, is taken for
        like the others of its service.
        """
        announcement = self._by_upstream.get(upstream_id)
        if announcement is not None and self._is_recent(announcement):
            return announcement.limit_per_s
        return self._limit_of_service(service)

    def retain(self, upstream_ids: Collection[str]) -> None:
        """Drops the records of all other upstreams."""
        for records in (self._by_upstream, self._rooms, self._shares):
            for upstream_id in records.keys() - set(upstream_ids):
                del records[upstream_id]

    def record_rejection(
        self, service: str, upstream_id: str, daemons: int
    ) -> None:
        """Records that an upstream had no room for a request.

        Args:
            service: The upstream's service.
            upstream_id: The upstream.
            daemons: Number of all daemons.
        """
        limit_per_s = self.limit_per_s(service, upstream_id)
        room = self._rooms.get(upstream_id)
        if limit_per_s is None or room is None:
            return
        now_ms = self._clock.now_ms()
        if now_ms >= room.closed_until_ms:
            room.fraction = self._fraction(room) * _ROOM_AFTER_REJECTION
            room.changed_ms = now_ms
        per_s = _LIMIT_SHARE * max(1, limit_per_s)
        pause_ms = int(_MS_PER_S * daemons / per_s)
        pause_ms = min(_MAX_PAUSE_MS, max(_MIN_PAUSE_MS, pause_ms))
        room.closed_until_ms = now_ms + pause_ms
        log_event(
            "rejected_by_brittle_upstream",
            upstream=upstream_id,
            limit_per_s=limit_per_s,
            room=round(room.fraction, 2),
            pause_ms=pause_ms,
        )

    def record_report(
        self, upstream_id: str, *, running: int, waiting: int, slots: int
    ) -> None:
        """Records the load that an upstream reports.

        One that lets requests wait before all slots are in use is short of
        something else, such as memory.
        """
        room = self._rooms.get(upstream_id)
        if room is None or not waiting:
            return
        fraction = running / max(1, slots)
        if fraction < self._fraction(room):
            room.fraction = fraction
            room.changed_ms = self._clock.now_ms()

    def allows(
        self,
        service: str,
        upstream_id: str,
        *,
        slots: int,
        in_flight: int,
        load: int,
        demands: Mapping[str, int],
    ) -> bool:
        """Returns whether an upstream may get another request.

        Args:
            service: The upstream's service.
            upstream_id: The upstream.
            slots: Requests that it runs concurrently.
            in_flight: This daemon's requests there.
            load: Estimate of all daemons' requests there.
            demands: The demands of all daemons for the service, by name.
        """
        limit_per_s = self.limit_per_s(service, upstream_id)
        if limit_per_s is None:
            return True
        now_ms = self._clock.now_ms()
        daemons = max(1, len(demands))
        room = self._rooms.get(upstream_id)
        if room is None:
            room = _Room(now_ms, in_flight)
            self._rooms[upstream_id] = room
        elif now_ms - room.looked_ms >= heartbeat_interval_ms(daemons):
            room.looked_ms, room.in_flight = now_ms, in_flight
        if now_ms < room.closed_until_ms:
            return False
        places = max(1.0, self._fraction(room) * slots)
        margin = _MARGIN + _LIMIT_MARGIN / max(1, limit_per_s)
        # Places that daemons may have beyond their shares.
        lendable = places - margin * math.sqrt(places)
        # The upstream withstands it if all of these are rejected.
        harmless = lendable <= limit_per_s
        within_share = in_flight < self._own_share(
            upstream_id, int(places), demands
        )
        if within_share and (harmless or load < places):
            return True
        free = lendable - load
        if free <= 0:
            return False
        # In proportion to what each has, and in equal parts.
        part = room.in_flight / max(1, load, room.in_flight)
        growth = _PROPORTIONAL * free * part
        growth += self._drawn_part(
            upstream_id, (1.0 - _PROPORTIONAL) * free, daemons
        )
        return in_flight < room.in_flight + growth

    def _limit_of_service(self, service: str) -> int | None:
        announcements = (
            records.get(service)
            for records in (self._by_service, self._by_peers)
        )
        limits = [
            announcement.limit_per_s
            for announcement in announcements
            if announcement is not None
            and announcement.limit_per_s is not None
            and self._is_recent(announcement)
        ]
        return min(limits, default=None)

    def _is_recent(self, announcement: _Announcement) -> bool:
        return self._clock.now_ms() - announcement.heard_ms < _EXPIRY_MS

    def _fraction(self, room: _Room) -> float:
        elapsed_ms = self._clock.now_ms() - room.changed_ms
        growth = _ROOM_GROWTH_PER_S * elapsed_ms / _MS_PER_S
        return min(1.0, room.fraction + growth)

    def _own_share(
        self, upstream_id: str, places: int, demands: Mapping[str, int]
    ) -> int:
        """Returns this daemon's share of an upstream's places."""
        known = self._shares.get(upstream_id)
        if (
            known is None
            or known.demands is not demands
            or known.places != places
        ):
            known = _Share(
                demands=demands,
                places=places,
                own=share(
                    upstream_id,
                    places,
                    leveled_demands(demands),
                    self._own_name,
                ),
            )
            self._shares[upstream_id] = known
        return known.own

    def _drawn_part(self, upstream_id: str, places: float, daemons: int) -> int:
        """Returns this daemon's part of places; on average they add up."""
        share, remainder = divmod(places, max(1, daemons))
        period = self._clock.now_ms() // _DRAW_PERIOD_MS
        key = f"{self._own_name}/{upstream_id}/{period}"
        drawn = zlib.crc32(key.encode()) % (1 << 16) / (1 << 16)
        return int(share) + (drawn * daemons < remainder)
