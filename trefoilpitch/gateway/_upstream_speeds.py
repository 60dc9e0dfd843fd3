"""How long work takes at upstreams, from their reports to any daemon.

Load pattern: upstreams of a fleet differ fourfold in speed, and the speed of
each one changes many times a second. A daemon of hundreds hears from a given
upstream every ten seconds or so, which is too rare to tell a slow upstream from
one that is slow for a moment. So the daemons publish what they have received.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from trefoilpitch.gateway._upstream_digest import upstream_digest
from trefoilpitch.workload import SpeedAverage

# Upstreams whose reports are passed on in one heartbeat, the latest first, so
# that it fits into a datagram.
_MAX_SHARED = 32
# Upstreams that are remembered; peers may know others than this daemon does.
_MAX_UPSTREAMS = 8_192
# How long a report shows that the upstreams of a service tell their speed.
_REPORTING_MS = 30_000


class UpstreamSpeeds:
    """Average speeds of upstreams; 1 is the usual duration of work."""

    def __init__(self) -> None:
        # By upstream digest.
        self._speeds: dict[int, SpeedAverage] = {}
        # Sum and number of the durations that were reported to this daemon
        # since its last heartbeat.
        self._unshared: dict[int, tuple[int, int]] = {}
        # Monotonic time of the last report of any upstream, by service.
        self._reported_ms: dict[str, int] = {}

    def record_report(
        self, upstream_id: str, duration_percent: int, now_ms: int
    ) -> None:
        """Records an upstream's report to this daemon."""
        digest = upstream_digest(upstream_id)
        self._record(digest, duration_percent, now_ms)
        total, count = self._unshared.pop(digest, (0, 0))
        self._unshared[digest] = total + duration_percent, count + 1

    def record_measured(self, upstream_id: str, ratio: float) -> None:
        """Records a request's time, relative to the one at usual speed."""
        speed = self._speeds.get(upstream_digest(upstream_id))
        if speed is not None:
            speed.record_measured(ratio)

    def adopt(self, durations: Mapping[int, int], now_ms: int) -> None:
        """Records what a peer has heard since its last heartbeat.

        Args:
            durations: Mean duration by upstream digest, in per cent.
            now_ms: The monotonic time.
        """
        for digest, duration_percent in durations.items():
            if duration_percent > 0:
                self._record(digest, duration_percent, now_ms)

    def take_unshared(self) -> dict[int, int]:
        """Returns what this daemon's peers have not heard of yet.

        Returns:
            Mean duration by upstream digest, in per cent.
        """
        latest = list(self._unshared.items())[-_MAX_SHARED:]
        self._unshared.clear()
        return {
            digest: max(1, round(total / count))
            for digest, (total, count) in latest
        }

    def duration(self, upstream_id: str, now_ms: int) -> float | None:
        """Returns the expected duration of work at an upstream.

        Returns:
            Relative to the usual one; None if it has never reported any.
        """
        speed = self._speeds.get(upstream_digest(upstream_id))
        return None if speed is None else speed.duration(now_ms)

    def age_ms(self, upstream_id: str, now_ms: int) -> int | None:
        """Returns the age of the last report; None if there is none."""
        speed = self._speeds.get(upstream_digest(upstream_id))
        return None if speed is None else speed.age_ms(now_ms)

    def note_service(self, upstream_id: str, service: str) -> None:
        """Learns which service an upstream belongs to."""
        speed = self._speeds.get(upstream_digest(upstream_id))
        if speed is not None:
            self._reported_ms[service] = max(
                self._reported_ms.get(service, 0), speed.updated_ms
            )

    def are_reported(self, service: str, now_ms: int) -> bool:
        """Returns whether upstreams of a service report their speed."""
        reported_ms = self._reported_ms.get(service)
        return reported_ms is not None and now_ms - reported_ms < _REPORTING_MS

    def retain(self, upstream_ids: Collection[str]) -> None:
        """Drops the speeds of all other upstreams."""
        digests = {upstream_digest(name) for name in upstream_ids}
        for digest in self._speeds.keys() - digests:
            del self._speeds[digest]

    def _record(self, digest: int, duration_percent: int, now_ms: int) -> None:
        speed = self._speeds.get(digest)
        if speed is None:
            while len(self._speeds) >= _MAX_UPSTREAMS:
                del self._speeds[next(iter(self._speeds))]
            speed = self._speeds[digest] = SpeedAverage()
        speed.record_report(duration_percent, now_ms)
