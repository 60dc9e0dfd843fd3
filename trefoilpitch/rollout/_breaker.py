"""A local breaker that narrows a new version at the first clear harm."""

from __future__ import annotations

import dataclasses
import enum

from trefoilpitch.rollout._evidence import (
    NO_EVIDENCE,
    Trials,
    VersionEvidence,
    evidence_of_harm,
    tolerated_rate,
)


class BreakerPhase(enum.Enum):
    """How much of its weight a version gets on this node."""

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BreakerSettings:
    """When a breaker opens and how it closes."""

    # Evidence of harm from which it opens.
    opening_evidence: float = 100.0
    # Evidence of harm at which a closed breaker forgets its past.
    forgetting_evidence: float = 0.05
    # Evidence of harm above which probes do not close it.
    closing_evidence: float = 0.1
    # Tolerated rise of the share of errors or of bad ratings, from 0 to 1.
    tolerance: float = 0.03
    # Time that it stays open at first, in milliseconds; doubles each time.
    open_ms: int = 30_000
    # Longest time that it stays open, in milliseconds.
    max_open_ms: int = 1_800_000
    # Share of its weight that a probed version gets, from 0 to 1.
    probing_factor: float = 0.1
    # Answers of probes without an error that close it.
    closing_answers: int = 20
    # Good ratings of probes that close it if ratings opened it.
    closing_ratings: int = 10


DEFAULT_SETTINGS = BreakerSettings()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Breaker:
    """The breaker of one version on one node.

    It acts on this node's outcomes alone and needs no agreement. What it
    narrows is the weight for new sessions; pinned ones stay.
    """

    # How much the version gets.
    phase: BreakerPhase = BreakerPhase.CLOSED
    # Outcomes since the phase began.
    evidence: VersionEvidence = NO_EVIDENCE
    # When an open breaker starts to probe, on the monotonic clock.
    probe_at_ms: int = 0
    # Times it opened since it was last closed.
    openings: int = 0
    # Whether bad ratings, rather than errors, opened it.
    opened_by_ratings: bool = False

    def weight_factor(
        self, now_ms: int, settings: BreakerSettings = DEFAULT_SETTINGS
    ) -> float:
        """Returns the share of its weight that the version gets now."""
        phase = self.at(now_ms).phase
        if phase is BreakerPhase.CLOSED:
            return 1.0
        return 0.0 if phase is BreakerPhase.OPEN else settings.probing_factor

    def at(self, now_ms: int) -> Breaker:
        """Returns the breaker as time alone has changed it."""
        waiting = now_ms < self.probe_at_ms
        if self.phase is not BreakerPhase.OPEN or waiting:
            return self
        return dataclasses.replace(
            self, phase=BreakerPhase.PROBING, evidence=NO_EVIDENCE
        )

    def answered(
        self,
        old: VersionEvidence,
        now_ms: int,
        *,
        failed: bool,
        settings: BreakerSettings = DEFAULT_SETTINGS,
    ) -> Breaker:
        """Returns the breaker after an answer or an error of the version.

        Args:
            old: Outcomes of the version in place.
            now_ms: The monotonic time.
            failed: Whether it ended in an error.
            settings: When the breaker opens and closes.
        """
        seen = VersionEvidence(responses=Trials(count=1, bad=int(failed)))
        return self.at(now_ms)._after(seen, old, now_ms, settings)

    def rated(
        self,
        old: VersionEvidence,
        now_ms: int,
        *,
        bad: bool,
        settings: BreakerSettings = DEFAULT_SETTINGS,
    ) -> Breaker:
        """Returns the breaker after a rating of the version's answer.

        Args:
            old: Outcomes of the version in place.
            now_ms: The monotonic time.
            bad: Whether the answer was rated bad.
            settings: When the breaker opens and closes.
        """
        seen = VersionEvidence(ratings=Trials(count=1, bad=int(bad)))
        return self.at(now_ms)._after(seen, old, now_ms, settings)

    def _after(
        self,
        seen: VersionEvidence,
        old: VersionEvidence,
        now_ms: int,
        settings: BreakerSettings,
    ) -> Breaker:
        if self.phase is BreakerPhase.OPEN:
            return self
        evidence = self.evidence + seen
        by_errors = _harm(evidence.responses, old.responses, settings)
        by_ratings = _harm(evidence.ratings, old.ratings, settings)
        if max(by_errors, by_ratings) >= settings.opening_evidence:
            return self._opened(now_ms, by_ratings > by_errors, settings)
        if self.phase is BreakerPhase.PROBING:
            harm = by_ratings if self.opened_by_ratings else by_errors
            return self._probed(evidence, harm, settings)
        kept = VersionEvidence(
            responses=_kept(evidence.responses, by_errors, settings),
            ratings=_kept(evidence.ratings, by_ratings, settings),
        )
        return dataclasses.replace(self, evidence=kept)

    def _opened(
        self, now_ms: int, by_ratings: bool, settings: BreakerSettings
    ) -> Breaker:
        open_ms = settings.open_ms * 2**self.openings
        return Breaker(
            phase=BreakerPhase.OPEN,
            probe_at_ms=now_ms + min(open_ms, settings.max_open_ms),
            openings=self.openings + 1,
            opened_by_ratings=by_ratings,
        )

    def _probed(
        self, evidence: VersionEvidence, harm: float, settings: BreakerSettings
    ) -> Breaker:
        responses, ratings = evidence.responses, evidence.ratings
        needed = settings.closing_ratings if self.opened_by_ratings else 0
        enough = responses.count - responses.bad >= settings.closing_answers
        enough = enough and ratings.count - ratings.bad >= needed
        if enough and harm < settings.closing_evidence:
            return Breaker()
        return dataclasses.replace(self, evidence=evidence)


def _harm(new: Trials, old: Trials, settings: BreakerSettings) -> float:
    return evidence_of_harm(new, tolerated_rate(old, settings.tolerance))


def _kept(trials: Trials, harm: float, settings: BreakerSettings) -> Trials:
    """Returns the trials, or none once they speak clearly for the version.

    A version that turns bad is then judged without its good past.
    """
    return Trials() if harm < settings.forgetting_evidence else trials
