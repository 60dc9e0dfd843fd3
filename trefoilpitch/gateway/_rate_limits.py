"""Keeps the fleet's requests below the rates that upstreams announce.

Load pattern: upstreams that are overloaded, often all of a service at once,
announce how many requests a second they take from all daemons together. Far
more requests wait for them, at all daemons. A daemon gets few responses of any
upstream, and those whose requests are held back get none.

The daemons tell each other what the responses to them announced, and the latest
announcement holds until a response says otherwise, however old it is: only a
response can show that an upstream has recovered. In each window of a limit the
daemons together send as many requests as it permits; their shares are whole
requests, add up to it, and follow the demand. One request in a window is always
permitted, as the end of a limit would remain unknown without it. The tolerance
above a limit is left for lost heartbeats and for daemons that start, or resume
after a freeze.
"""

from __future__ import annotations

import dataclasses
from collections import deque
from collections.abc import Callable, Collection, Mapping
from typing import TypeAlias

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import UpstreamEntry
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._peers import heartbeat_interval_ms
from trefoilpitch.gateway._room_shares import leveled_demands, share
from trefoilpitch.gateway._upstream_digest import run_digest

# Window of a limit that permits each daemon two requests a second, and of a
# lower one, which then permits as many as possible of the daemons a request.
_SHORT_WINDOW_S = 1
_LONG_WINDOW_S = 4
# Longest window of a limit that permits less than a request in that time.
_MAX_WINDOW_MS = 10_000
_AMPLE_REQUESTS = 2
# Announcements to this daemon are reported to peers for this time, the latest
# ones if there are more.
_REPORTED_MS = 10_000
_MAX_REPORTS = 32
# Limits that differ by less than this part are logged as one.
_LOGGED_CHANGE = 0.1
# More than the upstreams of a fleet.
_MAX_LIMITS = 8_192
_MS_PER_S = 1_000

# Thousandths of a request a second, or None if there is no limit any more, and
# the age of the announcement in milliseconds.
RateLimitReport: TypeAlias = tuple[int | None, int]


@dataclasses.dataclass(slots=True)
class _Share:
    """This daemon's part of the requests in a window."""

    # The limit that it was computed for, and its window.
    per_s: float | None
    window_ms: int
    # Monotonic time of the next computation.
    due_ms: int
    # Monotonic times from which a share was known, and the share.
    known: deque[tuple[int, int]]

    def settled(self, now_ms: int) -> int:
        """Returns the share that may be used now.

        A share that grows counts only after a window: until then the requests
        of the daemons that had it before count as well.
        """
        while len(self.known) > 1 and (
            self.known[1][0] <= now_ms - self.window_ms
        ):
            self.known.popleft()
        return min(own_share for _, own_share in self.known)


@dataclasses.dataclass(slots=True)
class _Limit:
    """What is known of the limit of one run of an upstream."""

    # Requests a second from all daemons; None if the limit has ended.
    per_s: float | None
    # Monotonic time of the response that announced it.
    observed_ms: int
    # Whether that response came to this daemon.
    is_own: bool
    logged_per_s: float | None = None
    share: _Share | None = None
    # Monotonic time before which this daemon's share cannot be free again.
    used_up_until_ms: int = 0
    # Monotonic times of the requests that this daemon has sent under it.
    sent_ms: deque[int] = dataclasses.field(default_factory=deque)


class RateLimits:
    """The limits that upstreams have announced, and how they are kept.

    Args:
        clock: Provides monotonic time.
        own_name: Name of this VM.
        demands: Returns the demands of all daemons for a service, by name.
    """

    def __init__(
        self,
        clock: Clock,
        own_name: str,
        demands: Callable[[str], Mapping[str, int]],
    ) -> None:
        self._clock = clock
        self._own_name = own_name
        self._demands = demands
        # By digest of the run: an upstream that starts again has no limit.
        self._limits: dict[int, _Limit] = {}

    @property
    def count(self) -> int:
        """Number of upstreams that have a limit."""
        return sum(limit.per_s is not None for limit in self._limits.values())

    def announce(self, entry: UpstreamEntry, per_s: float | None) -> None:
        """Records what a response of an upstream says.

        Args:
            entry: The upstream.
            per_s: Requests a second that it takes from all daemons together;
                None if it announces no limit.
        """
        run = run_digest(entry)
        if per_s is None and run not in self._limits:
            return
        latest = _Limit(per_s, self._clock.now_ms(), is_own=True)
        self._record(run, latest, entry.upstream_id)

    def adopt(self, reports: Mapping[int, RateLimitReport]) -> None:
        """Records what the responses to a peer said.

        Args:
            reports: The announcements, by digest of the upstream's run.
        """
        for run, (milli_per_s, age_ms) in reports.items():
            observed_ms = self._clock.now_ms() - age_ms
            known = self._limits.get(run)
            if known is not None and observed_ms <= known.observed_ms:
                continue
            per_s = None if milli_per_s is None else milli_per_s / _MS_PER_S
            self._record(run, _Limit(per_s, observed_ms, is_own=False), None)

    def reports(self) -> dict[int, RateLimitReport]:
        """Returns what recent responses to this daemon said, for peers.

        An announcement that a peer has heard later is left to that peer.
        """
        now_ms = self._clock.now_ms()
        own = [
            (now_ms - limit.observed_ms, run, limit.per_s)
            for run, limit in self._limits.items()
            if limit.is_own and now_ms - limit.observed_ms < _REPORTED_MS
        ]
        own.sort(key=lambda report: report[:2])
        return {
            run: (None if per_s is None else round(_MS_PER_S * per_s), age_ms)
            for age_ms, run, per_s in own[:_MAX_REPORTS]
        }

    def limit_per_s(self, entry: UpstreamEntry) -> float | None:
        """Returns the rate that an upstream takes; None for no limit."""
        if not self._limits:
            return None
        known = self._limits.get(run_digest(entry))
        return None if known is None else known.per_s

    def allows(self, entry: UpstreamEntry) -> bool:
        """Returns whether an upstream may get another request now."""
        known = self._limited(entry)
        if known is None:
            return True
        now_ms = self._clock.now_ms()
        if now_ms < known.used_up_until_ms:
            return False
        own_share = self._share(entry, known)
        sent_ms = known.sent_ms
        while sent_ms and sent_ms[0] <= now_ms - own_share.window_ms:
            sent_ms.popleft()
        if len(sent_ms) < own_share.settled(now_ms):
            return True
        known.used_up_until_ms = own_share.due_ms
        if sent_ms:
            next_ms = sent_ms[0] + own_share.window_ms
            known.used_up_until_ms = min(next_ms, own_share.due_ms)
        return False

    def own_rate_per_s(self, entry: UpstreamEntry) -> float | None:
        """Returns the rate at which this daemon may send requests.

        Returns:
            Its part of the upstream's limit; None for no limit.
        """
        known = self._limited(entry)
        if known is None:
            return None
        own_share = self._share(entry, known)
        places = own_share.settled(self._clock.now_ms())
        return _MS_PER_S * places / own_share.window_ms

    def record_sent(self, entry: UpstreamEntry) -> None:
        """Records a request that is sent to an upstream now."""
        known = self._limited(entry)
        if known is not None:
            known.sent_ms.append(self._clock.now_ms())

    def retain(self, entries: Collection[UpstreamEntry]) -> None:
        """Evicts limits that have ended, or are of none of these runs."""
        if not self._limits:
            return
        runs = {run_digest(entry) for entry in entries}
        ended_ms = self._clock.now_ms() - _REPORTED_MS
        for run, limit in list(self._limits.items()):
            has_ended = limit.per_s is None and limit.observed_ms < ended_ms
            if has_ended or run not in runs:
                del self._limits[run]

    def _limited(self, entry: UpstreamEntry) -> _Limit | None:
        if not self._limits:
            return None
        known = self._limits.get(run_digest(entry))
        return None if known is None or known.per_s is None else known

    def _record(
        self, run: int, latest: _Limit, upstream_id: str | None
    ) -> None:
        known = self._limits.get(run)
        if known is None:
            if len(self._limits) >= _MAX_LIMITS:
                return
            known = self._limits[run] = _Limit(None, 0, is_own=False)
        known.per_s = latest.per_s
        known.observed_ms = latest.observed_ms
        known.used_up_until_ms = 0
        known.is_own = latest.is_own
        if latest.per_s is None:
            known.share = None
            known.sent_ms.clear()
        if _differs(known.logged_per_s, latest.per_s):
            known.logged_per_s = latest.per_s
            log_event(
                "rate_limit",
                # None if a peer has heard it, who knows the upstream of a run.
                upstream=upstream_id,
                run=run,
                per_s=latest.per_s,
                age_ms=self._clock.now_ms() - latest.observed_ms,
            )

    def _share(self, entry: UpstreamEntry, limit: _Limit) -> _Share:
        """Returns this daemon's share, computed anew once a heartbeat."""
        now_ms = self._clock.now_ms()
        known = limit.share
        if known is None:
            known = limit.share = _Share(None, 0, 0, deque())
        elif known.per_s == limit.per_s and now_ms < known.due_ms:
            return known
        demands = self._demands(entry.service)
        places, window_ms = _window(limit.per_s or 0.0, len(demands))
        known.per_s, known.window_ms = limit.per_s, window_ms
        known.due_ms = now_ms + heartbeat_interval_ms(len(demands))
        own_share = share(
            entry.upstream_id, places, _claims(demands), self._own_name
        )
        if not known.known or known.known[-1][1] != own_share:
            known.known.append((now_ms, own_share))
        return known


def _window(per_s: float, daemons: int) -> tuple[int, int]:
    """Returns how many requests a limit permits in which time.

    Args:
        per_s: Requests a second of all daemons.
        daemons: Number of the daemons.

    Returns:
        The requests, one at least, and the milliseconds.
    """
    ample = per_s >= _AMPLE_REQUESTS * daemons
    places = max(1, int(per_s * (_SHORT_WINDOW_S if ample else _LONG_WINDOW_S)))
    if per_s * _MAX_WINDOW_MS <= _MS_PER_S * places:
        return places, _MAX_WINDOW_MS
    return places, round(_MS_PER_S * places / per_s)


def _claims(demands: Mapping[str, int]) -> Mapping[str, int]:
    """Returns by which demands daemons share a limit.

    Load pattern: the requests come to a few daemons. What the others got would
    be lost, as a limit permits less than a request for each daemon.
    """
    positive = {name: demand for name, demand in demands.items() if demand > 0}
    return leveled_demands(positive)


def _differs(known: float | None, latest: float | None) -> bool:
    if known is None or latest is None:
        return known is not latest
    return abs(known - latest) > _LOGGED_CHANGE * known
