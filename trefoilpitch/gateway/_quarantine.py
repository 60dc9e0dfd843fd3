"""Keeps requests with certain traits away from all upstreams."""

from __future__ import annotations

from collections.abc import Callable, Collection

from trefoilpitch.clock import Clock
from trefoilpitch.gateway._crash_evidence import (
    CrashEvidence,
    EvidenceReport,
)
from trefoilpitch.gateway._culprits import (
    CAUTIOUS,
    USUAL,
    Culprit,
    find_culprits,
    find_suspects,
    suspicions_with_enough_endings,
)
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._request_traits import RequestTraits, trait_name
from trefoilpitch.rendezvous import rank

# Time after the last ending until a request is sent as a probe, and the same
# for traits that responses went well with before, or that are blamed out of
# caution: they may be sound after all.
_QUARANTINE_MS = 600_000
_QUARANTINE_IF_SOUND_BEFORE_MS = 120_000
# The same for requests of which only one is to blame.
_QUARANTINE_IF_AMBIGUOUS_MS = 30_000
# Pause between probes: a failed one renews the quarantine long before.
_PROBE_INTERVAL_MS = 60_000
# Pause between decisions while traits are suspected and the evidence stays.
_DECISION_INTERVAL_MS = 100

_Traits = frozenset[int]


class Quarantine:
    """Decides whether a request may be sent, from the fleet's evidence.

    After a quarantine one daemon of the fleet sends one request at a time as a
    probe. If its upstream ends, the quarantine begins again; if its response
    goes well, the evidence does not speak against its traits any more.

    Args:
        evidence: The evidence; changes take effect at the next question.
        clock: Provides monotonic time.
        own_name: Name of this VM.
        live_peers: Returns the names of the other live daemons.
        is_cautious: Returns whether evidence may have been lost.
    """

    def __init__(
        self,
        evidence: CrashEvidence,
        clock: Clock,
        *,
        own_name: str,
        live_peers: Callable[[], Collection[str]],
        is_cautious: Callable[[], bool] = lambda: False,
    ) -> None:
        self._evidence = evidence
        self._clock = clock
        self._own_name = own_name
        self._live_peers = live_peers
        self._is_cautious = is_cautious
        self._culprits: dict[_Traits, Culprit] = {}
        self._decided_revision = 0
        self._decide_at_ms: int | None = None
        # Monotonic time of the last probe.
        self._probed_ms: dict[_Traits, int] = {}
        self._suspects: Collection[Culprit] = ()

    def refused_for_ms(self, traits: RequestTraits) -> int | None:
        """Returns for how long a request is refused; None if it may be sent."""
        self._decide()
        if not self._culprits:
            return None
        now_ms = self._clock.now_ms()
        digests = set(traits.digests)
        waits_ms = [
            self._wait_ms(culprit, now_ms)
            for culprit in self._culprits.values()
            if culprit.traits <= digests
        ]
        return max(waits_ms, default=0) or None

    def start_attempt(self, traits: RequestTraits) -> bool:
        """Returns whether a request may be sent right now; counts a probe."""
        if self.refused_for_ms(traits) is not None:
            return False
        digests = set(traits.digests)
        for blamed in self._culprits:
            if blamed <= digests:
                self._probed_ms[blamed] = self._clock.now_ms()
                log_event(
                    "quarantine_probed",
                    id=traits.request_id,
                    traits=_names(blamed),
                )
        return True

    def culprits(self) -> Collection[Culprit]:
        """Returns the traits that are in quarantine."""
        self._decide()
        return self._culprits.values()

    def suspects(self) -> Collection[Culprit]:
        """Returns requests that may be in quarantine after one more ending.

        The strongest of those under which several upstreams have ended.
        """
        self._decide()
        return self._suspects

    def report(self) -> EvidenceReport:
        """Returns the evidence for the other daemons."""
        self._decide()
        return self._evidence.report(
            self._clock.now_ms(), frozenset().union(*self._culprits)
        )

    def has_unreported_evidence(self) -> bool:
        """Whether another report is due as soon as possible."""
        return self._evidence.has_unreported(self._clock.now_ms())

    def merge(self, report: EvidenceReport) -> None:
        """Adds the evidence of another daemon."""
        self._evidence.merge(report, self._clock.now_ms())
        self._decide()

    def _wait_ms(self, culprit: Culprit, now_ms: int) -> int:
        """Returns the time until a request may probe; 0 if it may now."""
        duration_ms = _QUARANTINE_MS
        if culprit.ambiguous:
            duration_ms = _QUARANTINE_IF_AMBIGUOUS_MS
        elif culprit.was_sound or culprit.is_presumed:
            duration_ms = _QUARANTINE_IF_SOUND_BEFORE_MS
        end_ms = culprit.last_ms + duration_ms
        probed_ms = self._probed_ms.get(culprit.traits)
        if probed_ms is not None:
            end_ms = max(end_ms, probed_ms + _PROBE_INTERVAL_MS)
        if now_ms < end_ms:
            return end_ms - now_ms
        names = {self._own_name, *self._live_peers()}
        key = ",".join(_names(culprit.traits))
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
        thresholds = CAUTIOUS if self._is_cautious() else USUAL
        culprits = find_culprits(self._evidence, now_ms, thresholds)
        found = {c.traits: c for c in culprits}
        for blamed, culprit in found.items():
            if blamed not in self._culprits:
                self._log_start(culprit, now_ms)
        for blamed in self._culprits.keys() - found.keys():
            self._probed_ms.pop(blamed, None)
            self._log_end(blamed, now_ms)
        self._culprits = found
        self._suspects = find_suspects(self._evidence, found.values())
        quarantined = frozenset().union(*found)
        self._decided_revision = self._evidence.revision
        # Endings settle, and others' responses may go well meanwhile.
        suspected = any(
            s.trait not in quarantined
            for s in suspicions_with_enough_endings(self._evidence)
        )
        self._decide_at_ms = (
            now_ms + _DECISION_INTERVAL_MS if suspected else None
        )

    def _log_start(self, culprit: Culprit, now_ms: int) -> None:
        log_event(
            "quarantine_started",
            traits=_names(culprit.traits),
            endings=len(culprit.upstreams),
            responding=culprit.responding,
            last_ending_age_ms=now_ms - culprit.last_ms,
            was_sound=culprit.was_sound,
            ambiguous=culprit.ambiguous,
            presumed=culprit.is_presumed,
        )

    def _log_end(self, blamed: _Traits, now_ms: int) -> None:
        known = [
            self._evidence.knowledge(trait, now_ms) for trait in sorted(blamed)
        ]
        log_event(
            "quarantine_ended",
            traits=_names(blamed),
            endings=[k.endings for k in known],
            sound_age_ms=[k.sound_age_ms for k in known],
        )


def _names(traits: _Traits) -> list[str]:
    return [trait_name(trait) for trait in sorted(traits)]
