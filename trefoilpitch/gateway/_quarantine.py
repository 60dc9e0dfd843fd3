"""Keeps requests with certain parts of prompts away from all upstreams."""

from __future__ import annotations

from collections.abc import Callable, Collection

from trefoilpitch.clock import Clock
from trefoilpitch.gateway._culprits import (
    MIN_ENDINGS,
    Culprit,
    find_culprits,
)
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._messages import CallerRequest
from trefoilpitch.gateway._prompt_parts import (
    EvidenceReport,
    PromptEvidence,
    shared_digests,
)
from trefoilpitch.rendezvous import rank

# Time after the last ending until a request is sent as a probe, and the same
# for parts that responses went well with before: they may be sound after all.
_QUARANTINE_MS = 600_000
_QUARANTINE_IF_SOUND_BEFORE_MS = 120_000
# Pause between probes: a failed one renews the quarantine long before.
_PROBE_INTERVAL_MS = 60_000
# Pause between decisions while parts are suspected and the evidence stays.
_DECISION_INTERVAL_MS = 100

_Parts = frozenset[int]


class PromptQuarantine:
    """Decides whether a request may be sent, from the fleet's evidence.

    After a quarantine one daemon of the fleet sends one request at a time as a
    probe. If its upstream ends, the quarantine begins again; if its response
    goes well, the evidence does not speak against its parts any more.

    Args:
        evidence: The evidence; changes take effect at the next question.
        clock: Provides monotonic time.
        own_name: Name of this VM.
        live_peers: Returns the names of the other live daemons.
    """

    def __init__(
        self,
        evidence: PromptEvidence,
        clock: Clock,
        *,
        own_name: str,
        live_peers: Callable[[], Collection[str]],
    ) -> None:
        self._evidence = evidence
        self._clock = clock
        self._own_name = own_name
        self._live_peers = live_peers
        self._culprits: dict[_Parts, Culprit] = {}
        self._decided_revision = 0
        self._decide_at_ms: int | None = None
        # Monotonic time of the last probe.
        self._probed_ms: dict[_Parts, int] = {}

    def refused_for_ms(self, request: CallerRequest) -> int | None:
        """Returns for how long a request is refused; None if it may be sent."""
        self._decide()
        if not self._culprits:
            return None
        now_ms = self._clock.now_ms()
        digests = set(shared_digests(request))
        waits_ms = [
            self._wait_ms(culprit, now_ms)
            for culprit in self._culprits.values()
            if culprit.parts <= digests
        ]
        return max(waits_ms, default=0) or None

    def start_attempt(self, request: CallerRequest) -> bool:
        """Returns whether a request may be sent right now; counts a probe."""
        if self.refused_for_ms(request) is not None:
            return False
        digests = set(shared_digests(request))
        for parts in self._culprits:
            if parts <= digests:
                self._probed_ms[parts] = self._clock.now_ms()
                log_event(
                    "prompt_part_probed",
                    id=request.request_id,
                    parts=_names(parts),
                )
        return True

    def report(self) -> EvidenceReport:
        """Returns the evidence for the other daemons."""
        self._decide()
        return self._evidence.report(
            self._clock.now_ms(), frozenset().union(*self._culprits)
        )

    def merge(self, report: EvidenceReport) -> None:
        """Adds the evidence of another daemon."""
        self._evidence.merge(report, self._clock.now_ms())
        self._decide()

    def _wait_ms(self, culprit: Culprit, now_ms: int) -> int:
        """Returns the time until a request may probe; 0 if it may now."""
        duration_ms = _QUARANTINE_MS
        if culprit.was_sound:
            duration_ms = _QUARANTINE_IF_SOUND_BEFORE_MS
        end_ms = culprit.last_ms + duration_ms
        probed_ms = self._probed_ms.get(culprit.parts)
        if probed_ms is not None:
            end_ms = max(end_ms, probed_ms + _PROBE_INTERVAL_MS)
        if now_ms < end_ms:
            return end_ms - now_ms
        names = {self._own_name, *self._live_peers()}
        key = ",".join(_names(culprit.parts))
        if rank(key, names)[0] != self._own_name:
            return _PROBE_INTERVAL_MS
        return 0

    def _decide(self) -> None:
        now_ms = self._clock.now_ms()
        due = self._decide_at_ms is not None and now_ms >= self._decide_at_ms
        if self._decided_revision == self._evidence.revision and not due:
            return
        upstreams = [c.upstreams for c in self._culprits.values()]
        self._evidence.expire(now_ms, frozenset().union(*upstreams))
        found = {c.parts: c for c in find_culprits(self._evidence, now_ms)}
        for parts, culprit in found.items():
            if parts not in self._culprits:
                self._log_quarantine(culprit, now_ms)
        for parts in self._culprits.keys() - found.keys():
            self._probed_ms.pop(parts, None)
            self._log_release(parts, now_ms)
        self._culprits = found
        quarantined = frozenset().union(*found)
        self._decided_revision = self._evidence.revision
        # Endings settle, and others' responses may go well meanwhile.
        suspected = any(
            s.part not in quarantined
            for s in self._evidence.suspicions(MIN_ENDINGS)
        )
        self._decide_at_ms = (
            now_ms + _DECISION_INTERVAL_MS if suspected else None
        )

    def _log_quarantine(self, culprit: Culprit, now_ms: int) -> None:
        log_event(
            "prompt_part_quarantined",
            parts=_names(culprit.parts),
            endings=len(culprit.upstreams),
            responding=culprit.responding,
            last_ending_age_ms=now_ms - culprit.last_ms,
            was_sound=culprit.was_sound,
        )

    def _log_release(self, parts: _Parts, now_ms: int) -> None:
        known = [self._evidence.knowledge(part, now_ms) for part in parts]
        log_event(
            "prompt_part_released",
            parts=_names(parts),
            endings=[k.endings for k in known],
            sound_age_ms=[k.sound_age_ms for k in known],
        )


def _names(parts: _Parts) -> list[str]:
    return sorted(f"{part:08x}" for part in parts)
