"""Finds out whether upstreams ended whose responses were cut off.

A response is also cut off by a fault of the upstream or of the network that
concerns one connection only. An upstream that has ended refuses connections.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import UpstreamEntry
from trefoilpitch.gateway._crash_evidence import (
    AttemptProgress,
    CrashEvidence,
)
from trefoilpitch.gateway._http_client import ResponseHead
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._request_traits import (
    RequestTraits,
    trait_name,
)
from trefoilpitch.gateway._upstream_digest import run_digest
from trefoilpitch.gateway._upstream_links import Reachability
from trefoilpitch.metrics import Label, Metrics
from trefoilpitch.retries import FailureKind

# A trait ends upstreams as they begin to run a request: one that they have
# responded to for this long is sound.
_SOUND_AFTER_MS = 3_000
# For how long an upstream may go on with a request whose connection was closed.
_ABANDONED_MS = 2_000
_CUT = frozenset({FailureKind.RESPONSE_TRUNCATED, FailureKind.CONNECTION_LOST})
# Failures after which this daemon closes the connection of a running request.
_ABANDONED = frozenset(
    {FailureKind.RESPONSE_TIMEOUT, FailureKind.MALFORMED_RESPONSE}
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _CutAttempt:
    """An attempt that was cut off or abandoned, as far as can be told."""

    entry: UpstreamEntry
    traits: RequestTraits
    responding: bool
    # Monotonic time of the end of its connection.
    closed_ms: int
    # Whether the response would be complete if its upstream is running.
    complete: bool = False


def _cut_attempt(
    entry: UpstreamEntry,
    traits: RequestTraits,
    progress: AttemptProgress,
    closed_ms: int,
) -> _CutAttempt:
    return _CutAttempt(
        entry=entry,
        traits=traits,
        responding=progress.responding,
        closed_ms=closed_ms,
    )


class CutAttempts:
    """Collects evidence on traits of requests from attempts that were cut off.

    Args:
        evidence: Receives the evidence.
        clock: Provides monotonic time.
        metrics: Counts the attempts by what became of their upstreams.
        on_evidence: Called after a change that other daemons should know soon.
        examine: Returns whether an upstream's run goes on; `UNKNOWN` only if
            nothing shows it for some time.
        on_running: Called with an upstream that runs although a response was
            cut off.
    """

    def __init__(
        self,
        evidence: CrashEvidence,
        clock: Clock,
        metrics: Metrics,
        on_evidence: Callable[[], None],
        *,
        examine: Callable[[UpstreamEntry], Awaitable[Reachability]],
        on_running: Callable[[UpstreamEntry], None] = lambda entry: None,
    ) -> None:
        self._evidence = evidence
        self._clock = clock
        self._metrics = metrics
        self._on_evidence = on_evidence
        self._examine_upstream = examine
        self._on_running = on_running
        # Attempts by the run of the upstream that is being examined.
        self._examined: dict[int, list[_CutAttempt]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        # Attempts whose upstream may end because of them, by its run.
        self._abandoned: dict[int, list[_CutAttempt]] = {}

    def record_failure(
        self,
        entry: UpstreamEntry,
        traits: RequestTraits,
        kind: FailureKind,
        progress: AttemptProgress,
    ) -> None:
        """Examines the upstream of a failed attempt if that was cut off."""
        if kind in _ABANDONED:
            self.record_abandoned(entry, traits, progress)
        if kind not in _CUT:
            return
        now_ms = self._clock.now_ms()
        first_ms = progress.first_event_ms
        if first_ms is not None and now_ms - first_ms >= _SOUND_AFTER_MS:
            self._record_sound(traits)
            return
        self._examine_later(_cut_attempt(entry, traits, progress, now_ms))

    def record_abandoned(
        self,
        entry: UpstreamEntry,
        traits: RequestTraits,
        progress: AttemptProgress,
    ) -> None:
        """Records that this daemon closed the connection of an attempt.

        Its upstream may still run the request for a while, and end.
        """
        now_ms = self._clock.now_ms()
        attempt = _cut_attempt(entry, traits, progress, now_ms)
        self._abandoned.setdefault(run_digest(entry), []).append(attempt)
        self._expire_abandoned(now_ms)

    def record_refused(self, entry: UpstreamEntry) -> None:
        """Records that an upstream refused a connection."""
        run = run_digest(entry)
        if run in self._abandoned and run not in self._examined:
            self._examined[run] = []
            self._start_examination(entry)

    def review_abandoned(self) -> None:
        """Looks up whether other daemons have seen upstreams end."""
        for run in self._abandoned.keys() & self._evidence.ended_ms.keys():
            entry = self._abandoned[run][0].entry
            self._record_abandoned_endings(entry, self._evidence.ended_ms[run])

    def record_complete(
        self, entry: UpstreamEntry, traits: RequestTraits, head: ResponseHead
    ) -> None:
        """Records that a response was forwarded completely.

        A response that its connection delimits also looks complete if its
        upstream has ended.
        """
        cleared = all(self._evidence.is_cleared(k) for k in traits.digests)
        if cleared or head.is_delimited:
            self._record_sound(traits)
            return
        self._examine_later(
            _CutAttempt(
                entry=entry,
                traits=traits,
                responding=True,
                closed_ms=self._clock.now_ms(),
                complete=True,
            )
        )

    def _record_sound(self, traits: RequestTraits) -> None:
        now_ms = self._clock.now_ms()
        if self._evidence.record_sound(traits.digests, now_ms):
            self._on_evidence()

    def _examine_later(self, attempt: _CutAttempt) -> None:
        run = run_digest(attempt.entry)
        if run in self._examined:
            self._examined[run].append(attempt)
            return
        self._examined[run] = [attempt]
        self._start_examination(attempt.entry)

    def _start_examination(self, entry: UpstreamEntry) -> None:
        task = asyncio.create_task(self._examine(entry))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _examine(self, entry: UpstreamEntry) -> None:
        started_ms = self._clock.now_ms()
        verdict = await self._examine_upstream(entry)
        attempts = self._examined.pop(run_digest(entry))
        for attempt in attempts:
            if verdict is Reachability.REFUSED:
                self._record_ending(attempt)
            elif verdict is Reachability.REACHED and attempt.complete:
                self._record_sound(attempt.traits)
            if verdict is Reachability.REFUSED or not attempt.complete:
                self._metrics.count(
                    "cut_attempts", Label(name="upstream", value=verdict.value)
                )
        if verdict is Reachability.REACHED and not all(
            attempt.complete for attempt in attempts
        ):
            self._on_running(entry)
        if verdict is Reachability.REFUSED:
            ended_ms = attempts[0].closed_ms if attempts else started_ms
            self._record_abandoned_endings(entry, ended_ms)
            self._on_evidence()

    def _record_abandoned_endings(
        self, entry: UpstreamEntry, ended_ms: int
    ) -> None:
        recorded = False
        for attempt in self._abandoned.pop(run_digest(entry), ()):
            if 0 <= ended_ms - attempt.closed_ms < _ABANDONED_MS:
                recorded = True
                self._record_ending(
                    dataclasses.replace(attempt, closed_ms=ended_ms)
                )
        if recorded:
            self._on_evidence()

    def _expire_abandoned(self, now_ms: int) -> None:
        for run, attempts in list(self._abandoned.items()):
            recent = [
                attempt
                for attempt in attempts
                if now_ms - attempt.closed_ms < _ABANDONED_MS
            ]
            if recent:
                self._abandoned[run] = recent
            else:
                del self._abandoned[run]

    def _record_ending(self, attempt: _CutAttempt) -> None:
        self._evidence.record_ending(
            run_digest(attempt.entry),
            attempt.traits.digests,
            attempt.closed_ms,
            responding=attempt.responding,
        )
        now_ms = self._clock.now_ms()
        log_event(
            "upstream_ended",
            id=attempt.traits.request_id,
            upstream=attempt.entry.upstream_id,
            responding=attempt.responding,
            traits=[
                {
                    "trait": name,
                    "digest": trait_name(digest),
                    **dataclasses.asdict(
                        self._evidence.knowledge(digest, now_ms)
                    ),
                }
                for name, digest in attempt.traits.names()
            ],
        )
