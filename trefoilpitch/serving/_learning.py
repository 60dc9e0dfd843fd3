"""What answers and ratings tell of versions: breakers, evidence, samples."""

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
from trefoilpitch.serving._chat import Delivered
from trefoilpitch.serving._planning import CascadePlanner

MAX_SAMPLES = 256
GOOD_SCORE = 0.5

_HARMS = (AdviceReason.MORE_ERRORS, AdviceReason.WORSE_RATINGS)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutAdvice:
    """What this node would do with a roll-out."""

    # The model whose version changes.
    model: str
    # The version that takes over.
    to_version: str
    # The recommendation.
    advice: Advice


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutHarm:
    """Harm by the version of a running roll-out, proved on this node."""

    # Where the roll-out stands.
    state: RolloutState
    # The revision of the configuration that this was judged at.
    revision: int
    # What is worse than before.
    reason: AdviceReason


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _StepEvidence:
    # The state of the roll-out that the outcomes belong to.
    state: RolloutState
    # Outcomes of the new version while it stood there.
    seen: VersionEvidence = dataclasses.field(default_factory=VersionEvidence)
    # The recent ones of them.
    monitor: HarmMonitor = dataclasses.field(default_factory=HarmMonitor)


class VersionLearner:
    """Narrows versions that harm and samples answers; thread-safe.

    Args:
        planner: Learns from ratings.
        clock: Times breakers.
        rng: Draws samples.
        rating_share: Share of the whole answers to have rated, from 0 to 1.
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
        self._samples: collections.deque[Delivered] = collections.deque(
            maxlen=MAX_SAMPLES
        )

    def follow(self, table: RoutingTable) -> None:
        """Takes in a new configuration, before any outcome under it.

        What is held against a version counts for one step only, and not
        past a decision of operators. Where revisions were skipped, such a
        decision may be among them, so that all steps start afresh.
        """
        with self._lock:
            before = self._table.revision if self._table else 0
            is_skipped = table.revision > before + 1
            self._steps = {
                model: _StepEvidence(state=state)
                if is_skipped or not self._stands_at(state)
                else self._steps[model]
                for model, (_, state) in table.rollouts.items()
            }
            self._table = table

    def weight_factors(self, table: RoutingTable) -> Mapping[VersionRef, float]:
        """Returns the share of its weight that each new version gets."""
        now_ms = self._clock.now_ms()
        with self._lock:
            return {
                version: breaker.weight_factor(now_ms)
                for version, breaker in self._breakers.items()
                if version.model in table.rollouts
            }

    def answered(
        self, table: RoutingTable, version: VersionRef, *, failed: bool
    ) -> None:
        """Takes in that a version gave an answer or failed to."""
        seen = VersionEvidence(responses=Trials(count=1, bad=int(failed)))
        with self._lock:
            old = self._note(table, version, seen)
            if old is not None:
                self._breakers[version] = self._breaker(version).answered(
                    old, self._clock.now_ms(), failed=failed
                )

    def sample(self, delivered: Delivered) -> None:
        """Keeps some of the whole answers to have them rated."""
        with self._lock:
            if self._rng.random() < self._rating_share:
                self._samples.append(delivered)

    def take_sample(self) -> Delivered | None:
        """Returns the next answer to have rated, None if there is none."""
        with self._lock:
            return self._samples.popleft() if self._samples else None

    def rated(
        self, table: RoutingTable, delivered: Delivered, score: float
    ) -> None:
        """Takes in the rating of an answer, from 0 to 1."""
        is_good = score >= GOOD_SCORE
        label = self._planner.label(
            delivered.plan, delivered.step, delivered.first_signal
        )
        self._planner.observe(Rating(label=label, good=is_good))
        version = delivered.plan.steps[delivered.step].version
        seen = VersionEvidence(ratings=Trials(count=1, bad=int(not is_good)))
        with self._lock:
            old = self._note(table, version, seen)
            if old is not None:
                self._breakers[version] = self._breaker(version).rated(
                    old, self._clock.now_ms(), bad=not is_good
                )

    def advice(self, nodes: int) -> tuple[RolloutAdvice, ...]:
        """Returns what the outcomes on this node speak for.

        Args:
            nodes: Nodes that judge by outcomes of their own.
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

    def harms(self, nodes: int) -> tuple[RolloutHarm, ...]:
        """Returns the running roll-outs whose harm is proved on this node.

        Args:
            nodes: Nodes that judge by outcomes of their own.
        """
        with self._lock:
            if self._table is None:
                return ()
            found = []
            for step in self._steps.values():
                if step.state.phase is not RolloutPhase.RUNNING:
                    continue
                reason = self._advise(self._table, step, nodes).reason
                if reason in _HARMS:
                    harm = RolloutHarm(
                        state=step.state,
                        revision=self._table.revision,
                        reason=reason,
                    )
                    found.append(harm)
            return tuple(found)

    def breakers(self) -> Mapping[str, str]:
        """Returns the phase of each breaker, for dumps."""
        now_ms = self._clock.now_ms()
        with self._lock:
            return {
                str(version): breaker.at(now_ms).phase.value
                for version, breaker in self._breakers.items()
            }

    def _note(
        self, table: RoutingTable, version: VersionRef, seen: VersionEvidence
    ) -> VersionEvidence | None:
        """Adds evidence; returns the old version's for one being rolled out."""
        self._evidence[version] = self._of(version) + seen
        entry = table.rollouts.get(version.model)
        if entry is None or entry[1].to_version != version.version:
            return None
        self._note_step(table, entry[1], seen)
        if entry[1].phase is RolloutPhase.COMPLETED:
            return None
        return self._of(_old_version(table, version.model))

    def _note_step(
        self, table: RoutingTable, state: RolloutState, seen: VersionEvidence
    ) -> None:
        """Adds evidence to a step, unless the roll-out has left it since."""
        if not self._stands_at(state):
            return
        step = self._steps[state.model]
        plan, _ = table.rollouts[state.model]
        old = self._of(_old_version(table, state.model))
        self._steps[state.model] = dataclasses.replace(
            step,
            seen=step.seen + seen,
            monitor=step.monitor.updated(plan, old, seen),
        )

    def _stands_at(self, state: RolloutState) -> bool:
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
            self._of(_old_version(table, state.model)),
            step.seen,
            monitor=step.monitor,
            withdrawn=new_version in table.configuration.withdrawn,
            settings=settings_for_nodes(nodes),
        )

    def _of(self, version: VersionRef) -> VersionEvidence:
        return self._evidence.get(version, VersionEvidence())

    def _breaker(self, version: VersionRef) -> Breaker:
        return self._breakers.get(version, Breaker())


def _old_version(table: RoutingTable, model: str) -> VersionRef:
    return VersionRef(model, table.models[model].default_version)
