"""Finds out whether upstreams ended whose responses were cut off.

A response is also cut off by a fault of the upstream or of the network that
concerns one connection only. An upstream that has ended refuses connections.
"""

from __future__ import annotations

import asyncio
import dataclasses

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import UpstreamEntry
from trefoilpitch.gateway._exceptions import ExchangeError
from trefoilpitch.gateway._http_client import connect
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._messages import CallerRequest
from trefoilpitch.gateway._prompt_parts import (
    AttemptProgress,
    PromptEvidence,
    part_digest,
    run_digest,
    shared_parts,
)
from trefoilpitch.metrics import Label, Metrics
from trefoilpitch.retries import FailureKind

# Connections within a region open in a few milliseconds.
_CONNECT_TIMEOUT_MS = 300.0
_CUT = frozenset({FailureKind.RESPONSE_TRUNCATED, FailureKind.CONNECTION_LOST})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _CutAttempt:
    """An attempt whose response was cut off."""

    entry: UpstreamEntry
    request: CallerRequest
    responding: bool
    cut_ms: int


class CutAttempts:
    """Collects evidence on parts of prompts from attempts that were cut off.

    Args:
        evidence: Receives the evidence.
        clock: Provides monotonic time.
        metrics: Counts the attempts by what became of their upstreams.
    """

    def __init__(
        self, evidence: PromptEvidence, clock: Clock, metrics: Metrics
    ) -> None:
        self._evidence = evidence
        self._clock = clock
        self._metrics = metrics
        # Attempts by the run of the upstream that is being examined.
        self._examined: dict[int, list[_CutAttempt]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def record_failure(
        self,
        entry: UpstreamEntry,
        request: CallerRequest,
        kind: FailureKind,
        progress: AttemptProgress,
    ) -> None:
        """Examines the upstream of a failed attempt if that was cut off."""
        if kind not in _CUT or not progress.sent or not shared_parts(request):
            return
        attempt = _CutAttempt(
            entry=entry,
            request=request,
            responding=progress.responding,
            cut_ms=self._clock.now_ms(),
        )
        run = run_digest(entry)
        if run in self._examined:
            self._examined[run].append(attempt)
            return
        self._examined[run] = [attempt]
        task = asyncio.create_task(self._examine(entry))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def record_complete(self, request: CallerRequest) -> None:
        """Records that a response was forwarded completely."""
        self._evidence.record_sound(_digests(request), self._clock.now_ms())

    async def _examine(self, entry: UpstreamEntry) -> None:
        verdict = "running"
        try:
            with await connect(entry.host, entry.port, _CONNECT_TIMEOUT_MS):
                pass
        except ExchangeError as error:
            refused = error.kind is FailureKind.CONNECT_REFUSED
            verdict = "ended" if refused else "unknown"
        for attempt in self._examined.pop(run_digest(entry)):
            self._metrics.count(
                "cut_attempts", Label(name="upstream", value=verdict)
            )
            if verdict == "ended":
                self._record_ending(attempt)

    def _record_ending(self, attempt: _CutAttempt) -> None:
        self._evidence.record_ending(
            run_digest(attempt.entry),
            _digests(attempt.request),
            attempt.cut_ms,
            responding=attempt.responding,
        )
        now_ms = self._clock.now_ms()
        parts = []
        for part in shared_parts(attempt.request):
            known = self._evidence.knowledge(part_digest(part.part_id), now_ms)
            parts.append({"part": part.part_id, **dataclasses.asdict(known)})
        log_event(
            "upstream_ended",
            id=attempt.request.request_id,
            upstream=attempt.entry.upstream_id,
            responding=attempt.responding,
            parts=parts,
        )


def _digests(request: CallerRequest) -> list[int]:
    return [part_digest(part.part_id) for part in shared_parts(request)]
