"""Plans cascades, judges their steps and learns from ratings."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Sequence

from trefoilpitch.cascade._choice import (
    ALL_WORKSPACES,
    PlanQuery,
    Strategy,
    StrategyFinder,
    pooled_key,
)
from trefoilpitch.cascade._counts import (
    BIN_COUNT,
    CountsSnapshot,
    CountsTable,
    bin_edge,
    signal_bin,
)
from trefoilpitch.cascade._delivered import DeliveredQuality
from trefoilpitch.cascade._drift import DriftDetector
from trefoilpitch.cascade._nodes import (
    Candidate,
    CascadePlan,
    CascadeStep,
    Finish,
    Rating,
    ResponseKey,
    ResponseLabel,
    Target,
    Verdict,
)
from trefoilpitch.cascade._search import Blend, Option
from trefoilpitch.cascade._settings import DEFAULT_SETTINGS, CascadeSettings


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedStrategy:
    strategy: Strategy
    # Changes of the task's counts when it was computed.
    changes: int


class CascadePolicy:
    """Learns which responses of cheap versions are good enough.

    Counts are kept for each workspace, task and version, so a new version
    starts without counts of its own. The policy is not thread-safe; a single
    owner makes all calls.

    Args:
        incarnation: Identifies this node's own counts in snapshots.
        settings: Settings of the policy.
        epoch: The current epoch; epochs have the same number on all nodes.
    """

    def __init__(
        self,
        incarnation: str,
        settings: CascadeSettings = DEFAULT_SETTINGS,
        epoch: int = 0,
    ) -> None:
        self._settings = settings
        self._counts = CountsTable(incarnation, epoch=epoch)
        self._delivered = DeliveredQuality()
        self._finder = StrategyFinder(self._counts, self._delivered, settings)
        self._cache: dict[PlanQuery, _CachedStrategy] = {}
        self._changes: dict[tuple[str, str], int] = {}
        self._drift = DriftDetector()

    @property
    def epoch(self) -> int:
        """The epoch in which new ratings are counted."""
        return self._counts.epoch

    def plan(
        self,
        workspace: str,
        task: str,
        candidates: Sequence[Candidate],
        target: Target,
        rng: random.Random,
        *,
        max_steps: int = 2,
    ) -> CascadePlan:
        """Plans the cascade with the least expected cost that meets the target.

        Args:
            workspace: The workspace that sent the request.
            task: The task that it requested.
            candidates: Eligible versions; at least one.
            target: The quality target of the task.
            rng: Source of random numbers.
            max_steps: 1 when the deadline or the session does not permit a
                second run.

        Raises:
            ValueError: If there is no candidate.
        """
        if not candidates:
            raise ValueError("a plan needs at least one candidate")
        ordered = tuple(sorted(candidates, key=lambda one: one.cost_nano))
        query = PlanQuery(workspace, task, ordered, target, max_steps)
        strategy = self._strategy(query)
        option = _draw_option(strategy.safe, rng)
        explored = None
        if max_steps > 1 and len(ordered) > 1:
            explored = _explore(strategy, option, ordered, rng)
        exploring = explored is not None
        steps = _steps(explored or option, ordered)
        return CascadePlan(
            workspace=workspace, task=task, steps=steps, exploring=exploring
        )

    def judge(self, plan: CascadePlan, step: int, finish: Finish) -> Verdict:
        """Decides whether a step's complete response is delivered.

        Args:
            plan: The plan of the request.
            step: Index of the step that finished.
            finish: Result of the step.
        """
        if step == 0:
            key = _key(plan, 0)
            self._count_response(key, signal_bin(finish.signal))
        if step == len(plan.steps) - 1:
            return Verdict.ACCEPT
        threshold = plan.steps[step].accept_threshold
        if (finish.signal or 0.0) >= threshold:
            return Verdict.ACCEPT
        return Verdict.ESCALATE

    def label(
        self, plan: CascadePlan, step: int, first_signal: float | None
    ) -> ResponseLabel:
        """Returns the label that a rating of the delivered response needs.

        Args:
            plan: The plan of the request.
            step: Index of the step whose response was delivered.
            first_signal: The confidence signal of the first step's response.
        """
        return ResponseLabel(key=_key(plan, step), signal=first_signal or 0.0)

    def observe(self, rating: Rating) -> None:
        """Adds a rating; it may arrive any time after the response."""
        key = rating.label.key
        position = signal_bin(rating.label.signal)
        for one in (key, pooled_key(key)):
            earlier = self._counts.bin_counts(one, position)
            good = int(rating.good)
            if self._drift.observe(one, earlier, good, 1 - good):
                self._discount(one)
            self._counts.add_rating(one, position, rating.good)
            self._delivered.observe(one.workspace, one.task, good, 1 - good)
        self._record_change(key)

    def advance_epoch(self, epoch: int) -> None:
        """Decays earlier counts; called at regular intervals."""
        self._counts.advance_epoch(epoch)
        self._cache.clear()

    def snapshot(self) -> CountsSnapshot:
        """Returns this node's own counts, to be sent to the other nodes."""
        return self._counts.snapshot()

    def merge(self, snapshot: CountsSnapshot) -> None:
        """Merges another node's counts; idempotent, in any order."""
        for new in self._counts.merge(snapshot):
            key = new.key
            self._record_change(key)
            self._delivered.observe(key.workspace, key.task, new.good, new.bad)
            if self._drift.observe(key, new.earlier, new.good, new.bad):
                self._discount(key)

    def _count_response(self, key: ResponseKey, position: int) -> None:
        self._counts.add_response(key, position)
        self._counts.add_response(pooled_key(key), position)
        self._record_change(key)

    def _record_change(self, key: ResponseKey) -> None:
        cell = (key.workspace, key.task)
        self._changes[cell] = self._changes.get(cell, 0) + 1

    def _discount(self, key: ResponseKey) -> None:
        """Reduces the counts of a response key whose quality has dropped.

        A drop in the pooled counts reduces those of every workspace.
        """
        for one in list(self._counts.keys()):
            matches = dataclasses.replace(one, workspace=key.workspace) == key
            if one == key or (matches and key.workspace == ALL_WORKSPACES):
                self._counts.scale(one, self._settings.drift_retention)
        self._cache.clear()

    def _strategy(self, query: PlanQuery) -> Strategy:
        cached = self._cache.get(query)
        limit = self._settings.refresh_changes
        changes = self._changes.get((query.workspace, query.task), 0)
        if cached is not None and changes - cached.changes < limit:
            return cached.strategy
        strategy = self._finder.find(query)
        self._cache[query] = _CachedStrategy(strategy, changes)
        return strategy


def _draw_option(blend: Blend, rng: random.Random) -> Option:
    if blend.other_share > 0.0 and rng.random() < blend.other_share:
        return blend.other
    return blend.main


def _explore(
    strategy: Strategy,
    option: Option,
    ordered: Sequence[Candidate],
    rng: random.Random,
) -> Option | None:
    """Returns an option to explore, or None to use the given one.

    Explores with the probabilities that the strategy sets.
    """
    draw = rng.random()
    if draw < strategy.optimistic_share:
        return strategy.optimistic
    is_cheapest_only = option.second is None and option.first == 0
    if (
        is_cheapest_only
        or draw >= strategy.optimistic_share + strategy.random_share
    ):
        return None
    first = 0 if option.second is None else option.first
    second = len(ordered) - 1 if option.second is None else option.second
    highest = option.accept_from if option.second else BIN_COUNT - 1
    return dataclasses.replace(
        option,
        first=first,
        second=second,
        accept_from=rng.randint(0, highest),
    )


def _steps(
    option: Option, ordered: Sequence[Candidate]
) -> tuple[CascadeStep, ...]:
    first = ordered[option.first].version
    if option.second is None:
        return (CascadeStep(version=first, accept_threshold=0.0),)
    threshold = bin_edge(option.accept_from)
    return (
        CascadeStep(version=first, accept_threshold=threshold),
        CascadeStep(
            version=ordered[option.second].version, accept_threshold=0.0
        ),
    )


def _key(plan: CascadePlan, step: int) -> ResponseKey:
    rejected_version = plan.steps[step - 1].version if step > 0 else None
    return ResponseKey(
        workspace=plan.workspace,
        task=plan.task,
        version=plan.steps[step].version,
        rejected_version=rejected_version,
    )
