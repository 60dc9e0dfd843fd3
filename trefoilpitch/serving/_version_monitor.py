"""Monitors the outcomes of model versions, mainly during roll-outs."""

from __future__ import annotations

import collections
import dataclasses
import random
import threading
from collections.abc import Mapping

from trefoilpitch.bundle import VersionRef
from trefoilpitch.cascade import Rating
from trefoilpitch.clock import Clock
from trefoilpitch.configuration import RolloutPhase, RolloutState
from trefoilpitch.rollout import (
    Advice,
    AdviceReason,
    Breaker,
    HarmMonitor,
    Trials,
    VersionEvidence,
    advise,
    settings_for_nodes,
)
from trefoilpitch.routing import RoutingTable
from trefoilpitch.serving._chat import DeliveredResponse
from trefoilpitch.serving._planning import CascadePlanner

# Samples that wait to be rated; beyond that the oldest are dropped.
MAX_SAMPLES = 256
# Ratings of at least this score count as good.
GOOD_SCORE = 0.5

_HARMFUL_REASONS = (AdviceReason.MORE_ERRORS, AdviceReason.WORSE_RATINGS)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutAdvice:
    """What the outcomes on this node recommend for a roll-out."""

    # Name of the model.
    model: str
    # The version being rolled out.
    to_version: str
    advice: Advice


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutHarm:
    """A running roll-out whose new version does significant harm.

    The outcomes on this node prove it.
    """

    state: RolloutState
    # Revision of the configuration at which the outcomes were evaluated.
    revision: int
    # In what the new version is worse than the old one.
    reason: AdviceReason


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _StepEvidence:
    # State of the roll-out in which the outcomes were recorded.
    state: RolloutState
    # Outcomes of the new version in that state.
    evidence: VersionEvidence = dataclasses.field(
        default_factory=VersionEvidence
    )
    # Detects harm in the most recent of these outcomes.
    monitor: HarmMonitor = dataclasses.field(default_factory=HarmMonitor)


class VersionMonitor:
    """Reduces the traffic of harmful versions and samples responses.

    Thread-safe.

    Args:
        planner: Receives the ratings.
        clock: Used for the circuit breakers.
        rng: Used to select samples.
        rating_share: Share of the complete responses to be rated, from 0 to 1.
    """

    def __init__(
        self,
        planner: CascadePlanner,
        clock: Clock,
        rng: random.Random,
        rating_share: float,
    ) -> None:
        self._planner = planner
        self._clock = clock
        self._rng = rng
        self._rating_share = rating_share
        self._lock = threading.Lock()
        self._evidence: dict[VersionRef, VersionEvidence] = {}
        self._breakers: dict[VersionRef, Breaker] = {}
        self._table: RoutingTable | None = None
        self._steps: dict[str, _StepEvidence] = {}
        self._samples: collections.deque[DeliveredResponse] = collections.deque(
            maxlen=MAX_SAMPLES
        )

    def apply(self, table: RoutingTable) -> None:
        """Applies a new configuration, before any outcome is recorded under it.

        Evidence of harm counts within one step of a roll-out, until operators
        change the roll-out's state. If this node skipped revisions, operators
        may have done so in one of them, so that all evidence is discarded.
        """
        with self._lock:
            before = self._table.revision if self._table else 0
            skipped_revisions = table.revision > before + 1
            self._steps = {
                model: _StepEvidence(state=state)
                if skipped_revisions or not self._is_current_step(state)
                else self._steps[model]
                for model, (_, state) in table.rollouts.items()
            }
            self._table = table

    def weight_factors(self, table: RoutingTable) -> Mapping[VersionRef, float]:
        """Returns factors, from 0 to 1, on the traffic weights of versions."""
        now_ms = self._clock.now_ms()
        with self._lock:
            return {
                version: breaker.weight_factor(now_ms)
                for version, breaker in self._breakers.items()
                if version.model in table.rollouts
            }

    def record_result(
        self, table: RoutingTable, version: VersionRef, *, failed: bool
    ) -> None:
        """Records that a version completed a response or failed to."""
        evidence = VersionEvidence(responses=Trials(count=1, bad=int(failed)))
        with self._lock:
            old_evidence = self._add_evidence(table, version, evidence)
            if old_evidence is not None:
                self._breakers[version] = self._breaker(version).after_response(
                    old_evidence, self._clock.now_ms(), failed=failed
                )

    def sample(self, delivered: DeliveredResponse) -> None:
        """Keeps a random share of the complete responses to be rated."""
        with self._lock:
            if self._rng.random() < self._rating_share:
                self._samples.append(delivered)

    def take_sample(self) -> DeliveredResponse | None:
        """Removes and returns the next sample to be rated; None if none."""
        with self._lock:
            return self._samples.popleft() if self._samples else None

    def record_rating(
        self, table: RoutingTable, delivered: DeliveredResponse, score: float
    ) -> None:
        """Records the rating of a response, from 0 to 1."""
        is_good = score >= GOOD_SCORE
        label = self._planner.label(
            delivered.plan, delivered.step, delivered.first_signal
        )
        self._planner.observe(Rating(label=label, good=is_good))
        version = delivered.plan.steps[delivered.step].version
        evidence = VersionEvidence(
            ratings=Trials(count=1, bad=int(not is_good))
        )
        with self._lock:
            old_evidence = self._add_evidence(table, version, evidence)
            if old_evidence is not None:
                self._breakers[version] = self._breaker(version).after_rating(
                    old_evidence, self._clock.now_ms(), bad=not is_good
                )

    def advice(self, nodes: int) -> tuple[RolloutAdvice, ...]:
        """Returns what the outcomes on this node recommend for each roll-out.

        Args:
            nodes: Number of nodes that evaluate their own outcomes; the more
                there are, the more evidence each of them needs.
        """
        with self._lock:
            if self._table is None:
                return ()
            return tuple(
                RolloutAdvice(
                    model=model,
                    to_version=step.state.to_version,
                    advice=self._advise(self._table, step, nodes),
                )
                for model, step in self._steps.items()
            )

    def harmful_rollouts(self, nodes: int) -> tuple[RolloutHarm, ...]:
        """Returns the running roll-outs whose new version does harm.

        Args:
            nodes: Number of nodes that evaluate their own outcomes; the more
                there are, the more evidence each of them needs.
        """
        with self._lock:
            if self._table is None:
                return ()
            harms = []
            for step in self._steps.values():
                if step.state.phase is not RolloutPhase.RUNNING:
                    continue
                reason = self._advise(self._table, step, nodes).reason
                if reason in _HARMFUL_REASONS:
                    harm = RolloutHarm(
                        state=step.state,
                        revision=self._table.revision,
                        reason=reason,
                    )
                    harms.append(harm)
            return tuple(harms)

    def breakers(self) -> Mapping[str, str]:
        """Returns the phase of each version's breaker, for diagnostic dumps."""
        now_ms = self._clock.now_ms()
        with self._lock:
            return {
                str(version): breaker.at(now_ms).phase.value
                for version, breaker in self._breakers.items()
            }

    def _add_evidence(
        self,
        table: RoutingTable,
        version: VersionRef,
        evidence: VersionEvidence,
    ) -> VersionEvidence | None:
        """Adds evidence on a version.

        Returns:
            The evidence on the old version to compare with, if the version is
            being rolled out; otherwise None.
        """
        self._evidence[version] = self._evidence_for(version) + evidence
        entry = table.rollouts.get(version.model)
        if entry is None or entry[1].to_version != version.version:
            return None
        self._add_step_evidence(table, entry[1], evidence)
        if entry[1].phase is RolloutPhase.COMPLETED:
            return None
        return self._evidence_for(_default_version(table, version.model))

    def _add_step_evidence(
        self,
        table: RoutingTable,
        state: RolloutState,
        evidence: VersionEvidence,
    ) -> None:
        """Adds evidence to a step, unless the roll-out has moved on."""
        if not self._is_current_step(state):
            return
        step = self._steps[state.model]
        plan, _ = table.rollouts[state.model]
        old_evidence = self._evidence_for(_default_version(table, state.model))
        self._steps[state.model] = dataclasses.replace(
            step,
            evidence=step.evidence + evidence,
            monitor=step.monitor.updated(plan, old_evidence, evidence),
        )

    def _is_current_step(self, state: RolloutState) -> bool:
        step = self._steps.get(state.model)
        return step is not None and step.state == state

    def _advise(
        self, table: RoutingTable, step: _StepEvidence, nodes: int
    ) -> Advice:
        plan, state = table.rollouts[step.state.model]
        new_version = VersionRef(state.model, state.to_version)
        return advise(
            plan,
            state,
            self._evidence_for(_default_version(table, state.model)),
            step.evidence,
            monitor=step.monitor,
            withdrawn=new_version in table.configuration.withdrawn,
            settings=settings_for_nodes(nodes),
        )

    def _evidence_for(self, version: VersionRef) -> VersionEvidence:
        return self._evidence.get(version, VersionEvidence())

    def _breaker(self, version: VersionRef) -> Breaker:
        return self._breakers.get(version, Breaker())


def _default_version(table: RoutingTable, model: str) -> VersionRef:
    return VersionRef(model, table.models[model].default_version)
