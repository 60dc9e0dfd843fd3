"""Chooses, judges and learns cascades."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Sequence

from trefoilpitch.cascade._choice import (
    ALL_WORKSPACES,
    Choice,
    ChoiceFinder,
    Question,
    pooled,
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
class _CachedChoice:
    choice: Choice
    changes: int


class CascadePolicy:
    """Learns which answers of cheap versions are good enough.

    Counts are kept for each workspace, task and version, so a new version
    starts without a past of its own. The policy is not thread-safe; one
    actor owns it.

    Args:
        incarnation: Names this node's own counts in snapshots.
        settings: How cautious and how curious it is.
        epoch: The present epoch; all nodes count epochs alike.
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
        self._finder = ChoiceFinder(self._counts, self._delivered, settings)
        self._cache: dict[Question, _CachedChoice] = {}
        self._changes: dict[tuple[str, str], int] = {}
        self._drift = DriftDetector()

    @property
    def epoch(self) -> int:
        """The epoch that new ratings belong to."""
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
        """Plans the least expected cost that meets the target.

        Args:
            workspace: The workspace that asks.
            task: The task that it asks for.
            candidates: Eligible versions, at least one.
            target: What the answers must reach.
            rng: Source of random numbers.
            max_steps: 1 when the deadline or the session leaves no room for
                a second run.

        Raises:
            ValueError: If there is no candidate.
        """
        if not candidates:
            raise ValueError("a plan needs at least one candidate")
        ordered = tuple(sorted(candidates, key=lambda one: one.cost_nano))
        question = Question(workspace, task, ordered, target, max_steps)
        choice = self._choose(question)
        option = _drawn(choice.safe, rng)
        explored = None
        if max_steps > 1 and len(ordered) > 1:
            explored = _explored(choice, option, ordered, rng)
        exploring = explored is not None
        steps = _steps(explored or option, ordered)
        return CascadePlan(
            workspace=workspace, task=task, steps=steps, exploring=exploring
        )

    def judge(self, plan: CascadePlan, step: int, finish: Finish) -> Verdict:
        """Decides whether a step's whole answer is delivered.

        Args:
            plan: The plan of the request.
            step: Index of the step that finished.
            finish: How it finished.
        """
        if step == 0:
            key = _key(plan, 0)
            self._count_answer(key, signal_bin(finish.signal))
        if step == len(plan.steps) - 1:
            return Verdict.ACCEPT
        threshold = plan.steps[step].accept_threshold
        if (finish.signal or 0.0) >= threshold:
            return Verdict.ACCEPT
        return Verdict.ESCALATE

    def label(
        self, plan: CascadePlan, step: int, first_signal: float | None
    ) -> ResponseLabel:
        """Returns what a rating of the delivered answer must carry.

        Args:
            plan: The plan of the request.
            step: Index of the step whose answer was delivered.
            first_signal: The confidence signal of the first step's answer.
        """
        return ResponseLabel(key=_key(plan, step), signal=first_signal or 0.0)

    def observe(self, rating: Rating) -> None:
        """Learns from a rating, however late it comes."""
        key = rating.label.key
        position = signal_bin(rating.label.signal)
        for one in (key, pooled(key)):
            earlier = self._counts.one_bin(one, position)
            good = int(rating.good)
            if self._drift.observe(one, earlier, good, 1 - good):
                self._forget(one)
            self._counts.add_rating(one, position, rating.good)
            self._delivered.observe(one.workspace, one.task, good, 1 - good)
        self._note_change(key)

    def advance_epoch(self, epoch: int) -> None:
        """Lets earlier ratings fade; called at a steady pace."""
        self._counts.advance_epoch(epoch)
        self._cache.clear()

    def snapshot(self) -> CountsSnapshot:
        """Returns this node's own counts for the other nodes."""
        return self._counts.snapshot()

    def merge(self, snapshot: CountsSnapshot) -> None:
        """Takes in another node's counts; idempotent, in any order."""
        for growth in self._counts.merge(snapshot):
            key = growth.key
            self._note_change(key)
            self._delivered.observe(
                key.workspace, key.task, growth.good, growth.bad
            )
            if self._drift.observe(
                key, growth.earlier, growth.good, growth.bad
            ):
                self._forget(key)

    def _count_answer(self, key: ResponseKey, position: int) -> None:
        self._counts.add_answer(key, position)
        self._counts.add_answer(pooled(key), position)
        self._note_change(key)

    def _note_change(self, key: ResponseKey) -> None:
        cell = (key.workspace, key.task)
        self._changes[cell] = self._changes.get(cell, 0) + 1

    def _forget(self, key: ResponseKey) -> None:
        """Drops most of what is known of a kind of answer that got worse.

        A drop over all workspaces together concerns each of them.
        """
        for one in list(self._counts.keys()):
            alike = dataclasses.replace(one, workspace=key.workspace) == key
            if one == key or (alike and key.workspace == ALL_WORKSPACES):
                self._counts.scale(one, self._settings.forgetting_factor)
        self._cache.clear()

    def _choose(self, question: Question) -> Choice:
        cached = self._cache.get(question)
        limit = self._settings.refresh_changes
        changes = self._changes.get((question.workspace, question.task), 0)
        if cached is not None and changes - cached.changes < limit:
            return cached.choice
        choice = self._finder.find(question)
        self._cache[question] = _CachedChoice(choice, changes)
        return choice


def _drawn(blend: Blend, rng: random.Random) -> Option:
    if blend.other_share > 0.0 and rng.random() < blend.other_share:
        return blend.other
    return blend.main


def _explored(
    choice: Choice,
    option: Option,
    ordered: Sequence[Candidate],
    rng: random.Random,
) -> Option | None:
    """Departs from the safe option for the shares that are set for it."""
    draw = rng.random()
    if draw < choice.hopeful_share:
        return choice.hopeful
    answered_cheaply = option.second is None and option.first == 0
    if answered_cheaply or draw >= choice.hopeful_share + choice.random_share:
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
    after = plan.steps[step - 1].version if step > 0 else None
    return ResponseKey(
        workspace=plan.workspace,
        task=plan.task,
        version=plan.steps[step].version,
        after=after,
    )
