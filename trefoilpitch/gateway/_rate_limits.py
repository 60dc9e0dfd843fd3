"""Keeps the fleet's requests below the rates that upstreams announce.

Load pattern: upstreams that are overloaded, often all of a service at once,
announce how many requests a second they take from all daemons together. Far
more requests wait for them, at all daemons. A daemon gets few responses of any
upstream, and those whose requests are held back get none.

The daemons tell each other what the responses to them announced, and the latest
announcement holds until a response says otherwise, however old it is: only a
response can show that an upstream has recovered. Each daemon has a share of the
requests that a limit permits (`_rate_share.py`). The tolerance above a limit is
left for lost heartbeats and for daemons that start, or resume after a freeze.
"""

from __future__ import annotations

import dataclasses
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import TypeAlias

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import UpstreamEntry
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._rate_share import RateShare
from trefoilpitch.gateway._upstream_digest import run_digest

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
class _Limit:
    """What is known of the limit of one run of an upstream."""

    # Requests a second from all daemons; None if the limit has ended.
    per_s: float | None
    # Monotonic time of the response that announced it.
    observed_ms: int
    # Whether that response came to this daemon.
    is_own: bool
    logged_per_s: float | None = None
    share: RateShare | None = None
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
        self._record(run, per_s, self._clock.now_ms(), entry.upstream_id)

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
            self._record(run, per_s, observed_ms, None)

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
        known = self._limited(entry)
        return None if known is None else known.per_s

    def allows(self, entry: UpstreamEntry) -> bool:
        """Returns whether an upstream may get another request now."""
        known = self._limited(entry)
        if known is None:
            return True
        now_ms = self._clock.now_ms()
        if now_ms < known.used_up_until_ms:
            return False
        own_share = self._updated_share(entry, known)
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
        own_share = self._updated_share(entry, known)
        places = own_share.settled(self._clock.now_ms())
        return _MS_PER_S * places / own_share.window_ms

    def record_sent(self, entry: UpstreamEntry) -> None:
        """Records a request that is sent to an upstream now."""
        known = self._limited(entry)
        if known is not None:
            known.sent_ms.append(self._clock.now_ms())

    def retain(self, entries: Iterable[UpstreamEntry]) -> None:
        """Evicts limits that have ended, or are of none of these runs."""
        if not self._limits:
            return
        runs = {run_digest(entry) for entry in entries}
        ended_ms = self._clock.now_ms() - _REPORTED_MS
        for run, limit in list(self._limits.items()):
            has_ended = limit.per_s is None and limit.observed_ms < ended_ms
            if has_ended or run not in runs:
                del self._limits[run]

    def _updated_share(self, entry: UpstreamEntry, limit: _Limit) -> RateShare:
        """Returns this daemon's share, computed anew once a heartbeat."""
        if limit.share is None:
            limit.share = RateShare(entry.upstream_id, self._own_name)
        assert limit.per_s is not None
        now_ms = self._clock.now_ms()
        if limit.share.is_due(limit.per_s, now_ms):
            demands = self._demands(entry.service)
            limit.share.update(limit.per_s, demands, now_ms)
        return limit.share

    def _limited(self, entry: UpstreamEntry) -> _Limit | None:
        if not self._limits:
            return None
        known = self._limits.get(run_digest(entry))
        return None if known is None or known.per_s is None else known

    def _record(
        self,
        run: int,
        per_s: float | None,
        observed_ms: int,
        upstream_id: str | None,
    ) -> None:
        """Records the latest announcement.

        Args:
            run: Digest of the upstream's run.
            per_s: What it says.
            observed_ms: Monotonic time of the response.
            upstream_id: The upstream; None if the response came to a peer, who
                knows the upstream of a run.
        """
        known = self._limits.get(run)
        if known is None:
            if len(self._limits) >= _MAX_LIMITS:
                return
            known = self._limits[run] = _Limit(None, 0, is_own=False)
        known.per_s = per_s
        known.observed_ms = observed_ms
        known.used_up_until_ms = 0
        known.is_own = upstream_id is not None
        if per_s is None:
            known.share = None
            known.sent_ms.clear()
        if _differs(known.logged_per_s, per_s):
            known.logged_per_s = per_s
            log_event(
                "rate_limit",
                upstream=upstream_id,
                run=run,
                per_s=per_s,
                age_ms=self._clock.now_ms() - observed_ms,
            )


def _differs(known: float | None, latest: float | None) -> bool:
    if known is None or latest is None:
        return known is not latest
    return abs(known - latest) > _LOGGED_CHANGE * known
