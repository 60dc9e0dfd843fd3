"""A circuit breaker that reduces the weight of a harmful new version."""

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
    """State of a circuit breaker; ``PROBING`` is known as half-open."""

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BreakerSettings:
    """When a breaker opens and how it closes."""

    # Evidence of harm at which it opens.
    opening_evidence: float = 100.0
    # Evidence of harm below which a closed breaker discards its outcomes.
    reset_evidence: float = 0.05
    # Evidence of harm below which successful probes close it.
    closing_evidence: float = 0.1
    # Tolerated increase of the rate of errors or bad ratings, from 0 to 1.
    tolerance: float = 0.03
    # How long it stays open at first; doubles with each opening.
    open_ms: int = 30_000
    # Upper bound of the time that it stays open.
    max_open_ms: int = 1_800_000
    # Share of its weight that a version gets while probing, from 0 to 1.
    probing_factor: float = 0.1
    # Successful responses to probes that close it.
    closing_responses: int = 20
    # Good ratings of probes also required if bad ratings opened it.
    closing_ratings: int = 10


DEFAULT_SETTINGS = BreakerSettings()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Breaker:
    """The circuit breaker of one version on one node.

    It acts only on the outcomes of its node and needs no agreement with others.
    It reduces the version's weight for new sessions; pinned sessions stay.
    """

    phase: BreakerPhase = BreakerPhase.CLOSED
    # Outcomes since the phase began or, while closed, since the last reset.
    evidence: VersionEvidence = NO_EVIDENCE
    # Monotonic time at which an open breaker starts to probe.
    probe_at_ms: int = 0
    # How often it opened since it was last closed.
    openings: int = 0
    # Whether bad ratings rather than errors opened it.
    opened_by_ratings: bool = False

    def weight_factor(
        self, now_ms: int, settings: BreakerSettings = DEFAULT_SETTINGS
    ) -> float:
        """Returns the factor for the version's weight, from 0 to 1."""
        phase = self.at(now_ms).phase
        if phase is BreakerPhase.CLOSED:
            return 1.0
        return 0.0 if phase is BreakerPhase.OPEN else settings.probing_factor

    def at(self, now_ms: int) -> Breaker:
        """Returns the breaker at a time, probing if its open time is over."""
        waiting = now_ms < self.probe_at_ms
        if self.phase is not BreakerPhase.OPEN or waiting:
            return self
        return dataclasses.replace(
            self, phase=BreakerPhase.PROBING, evidence=NO_EVIDENCE
        )

    def after_response(
        self,
        baseline: VersionEvidence,
        now_ms: int,
        *,
        failed: bool,
        settings: BreakerSettings = DEFAULT_SETTINGS,
    ) -> Breaker:
        """Returns the breaker after a response or an error of the version.

        Args:
            baseline: Outcomes of the old version.
            now_ms: The monotonic time.
            failed: Whether the request ended in an error.
            settings: Says when the breaker opens and closes.
        """
        added = VersionEvidence(responses=Trials(count=1, bad=int(failed)))
        return self.at(now_ms)._after(added, baseline, now_ms, settings)

    def after_rating(
        self,
        baseline: VersionEvidence,
        now_ms: int,
        *,
        bad: bool,
        settings: BreakerSettings = DEFAULT_SETTINGS,
    ) -> Breaker:
        """Returns the breaker after a rating of one of the version's responses.

        Args:
            baseline: Outcomes of the old version.
            now_ms: The monotonic time.
            bad: Whether the response was rated bad.
            settings: Says when the breaker opens and closes.
        """
        added = VersionEvidence(ratings=Trials(count=1, bad=int(bad)))
        return self.at(now_ms)._after(added, baseline, now_ms, settings)

    def _after(
        self,
        added: VersionEvidence,
        baseline: VersionEvidence,
        now_ms: int,
        settings: BreakerSettings,
    ) -> Breaker:
        if self.phase is BreakerPhase.OPEN:
            return self
        evidence = self.evidence + added
        by_errors = _harm_evidence(
            evidence.responses, baseline.responses, settings
        )
        by_ratings = _harm_evidence(
            evidence.ratings, baseline.ratings, settings
        )
        if max(by_errors, by_ratings) >= settings.opening_evidence:
            return self._opened(now_ms, by_ratings > by_errors, settings)
        if self.phase is BreakerPhase.PROBING:
            harm = by_ratings if self.opened_by_ratings else by_errors
            return self._probed(evidence, harm, settings)
        kept = VersionEvidence(
            responses=_kept_trials(evidence.responses, by_errors, settings),
            ratings=_kept_trials(evidence.ratings, by_ratings, settings),
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
        enough = responses.count - responses.bad >= settings.closing_responses
        enough = enough and ratings.count - ratings.bad >= needed
        if enough and harm < settings.closing_evidence:
            return Breaker()
        return dataclasses.replace(self, evidence=evidence)


def _harm_evidence(
    candidate: Trials, baseline: Trials, settings: BreakerSettings
) -> float:
    return evidence_of_harm(
        candidate, tolerated_rate(baseline, settings.tolerance)
    )


def _kept_trials(
    trials: Trials, harm: float, settings: BreakerSettings
) -> Trials:
    """Returns the trials, or none if they clearly favour the version.

    Earlier good outcomes then can't delay the detection of later harm.
    """
    return Trials() if harm < settings.reset_evidence else trials
