"""Chooses, judges and learns cascades."""

from __future__ import annotations

import dataclasses
import itertools
import random
from collections.abc import Sequence

from trefoilpitch.cascade._counts import (
    BIN_COUNT,
    CountsSnapshot,
    CountsTable,
    bin_edge,
    signal_bin,
)
from trefoilpitch.cascade._drift import DriftDetector
from trefoilpitch.cascade._estimate import BinQuality, bin_qualities
from trefoilpitch.cascade._nodes import (
    AnswerKey,
    AnswerLabel,
    Candidate,
    CascadePlan,
    CascadeStep,
    Finish,
    Rating,
    Target,
    Verdict,
)
from trefoilpitch.cascade._search import (
    Blend,
    Option,
    cheapest_expected,
    cheapest_safe,
    confidence_factor,
    direct_option,
    only,
    threshold_options,
)

_ALL_WORKSPACES = "*"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CascadeSettings:
    """How cautious and how curious the policy is."""

    # Largest share of requests that may depart from the best known plan.
    exploration_share: float = 0.25
    # Share that goes on exploring when much is known.
    min_exploration_share: float = 0.01
    # Ratings of a cheap version that halve its exploration.
    halving_ratings: float = 200.0
    # Ratings of the dearest version before cheaper ones deliver anything.
    min_ratings: int = 20
    # Changes of the counts after which a plan is computed afresh.
    refresh_changes: int = 32
    # Share of what is known that remains after a drop in quality.
    forgetting_factor: float = 0.02


DEFAULT_SETTINGS = CascadeSettings()


@dataclasses.dataclass(frozen=True, slots=True)
class _Question:
    workspace: str
    task: str
    candidates: tuple[Candidate, ...]
    target: Target
    max_steps: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Choice:
    # The cheapest blend that meets the target with confidence.
    safe: Blend
    # The cheapest option that is expected to meet it.
    hopeful: Option
    # Share of requests that try the hopeful option, from 0 to 1.
    hopeful_share: float
    # Share of requests that try any threshold, from 0 to 1.
    random_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedChoice:
    choice: _Choice
    changes: int


class CascadePolicy:
    """Learns which answers of cheap versions are good enough.

    Counts are kept for each workspace, task and version, so a new version
    starts without a past of its own. The policy is not thread-safe; one
    actor owns it.

    Args:
        incarnation: Names this node's own counts in snapshots.
        settings: How cautious and how curious it is.
    """

    def __init__(
        self, incarnation: str, settings: CascadeSettings = DEFAULT_SETTINGS
    ) -> None:
        self._settings = settings
        self._counts = CountsTable(incarnation)
        self._cache: dict[_Question, _CachedChoice] = {}
        self._changes: dict[tuple[str, str], int] = {}
        self._drift = DriftDetector()

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
        question = _Question(workspace, task, ordered, target, max_steps)
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
    ) -> AnswerLabel:
        """Returns what a rating of the delivered answer must carry.

        Args:
            plan: The plan of the request.
            step: Index of the step whose answer was delivered.
            first_signal: The confidence signal of the first step's answer.
        """
        return AnswerLabel(key=_key(plan, step), signal=first_signal or 0.0)

    def observe(self, rating: Rating) -> None:
        """Learns from a rating, however late it comes."""
        key = rating.label.key
        position = signal_bin(rating.label.signal)
        for one in (key, _pooled(key)):
            earlier = self._counts.one_bin(one, position)
            if self._drift.observe(one, earlier, rating.good):
                self._forget(one)
            self._counts.add_rating(one, position, rating.good)
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
        self._counts.merge(snapshot)
        self._cache.clear()

    def _hopeful_share(self, safe: Blend, hopeful: Option) -> float:
        """Returns how often to try what is expected to meet the target."""
        saving = 1.0 - hopeful.cost_nano / max(safe.cost_nano, 1e-9)
        share = min(max(2.0 * saving, 0.0), 1.0)
        return self._settings.exploration_share * share

    def _random_share(
        self, question: _Question, safest: Option, cheapest: Option
    ) -> float:
        """Returns how often to try any threshold.

        The less is known of the cheapest version the more often, but never
        so often that quality would fall to the target.
        """
        settings = self._settings
        key = AnswerKey(
            workspace=_ALL_WORKSPACES,
            task=question.task,
            version=question.candidates[0].version,
        )
        rated = sum(one.ratings for one in self._counts.bins(key))
        doubt = 1.0 + (rated / settings.halving_ratings) ** 2
        dearest = question.candidates[-1].cost_nano
        potential = 1.0 - cheapest.cost_nano / max(dearest, 1e-9)
        share = settings.exploration_share * potential / doubt
        slack = safest.lower_bound - question.target.quality
        loss = (safest.lower_bound - cheapest.quality) / 2.0
        affordable = max(slack, 0.0) / max(loss, slack, 1e-9)
        least = min(settings.min_exploration_share, settings.exploration_share)
        return max(min(share, affordable), least)

    def _count_answer(self, key: AnswerKey, position: int) -> None:
        self._counts.add_answer(key, position)
        self._counts.add_answer(_pooled(key), position)
        self._note_change(key)

    def _note_change(self, key: AnswerKey) -> None:
        cell = (key.workspace, key.task)
        self._changes[cell] = self._changes.get(cell, 0) + 1

    def _forget(self, key: AnswerKey) -> None:
        """Drops most of what is known of a kind of answer that got worse.

        A drop over all workspaces together concerns each of them.
        """
        for one in list(self._counts.keys()):
            alike = dataclasses.replace(one, workspace=key.workspace) == key
            if one == key or (alike and key.workspace == _ALL_WORKSPACES):
                self._counts.scale(one, self._settings.forgetting_factor)
        self._cache.clear()

    def _choose(self, question: _Question) -> _Choice:
        cached = self._cache.get(question)
        limit = self._settings.refresh_changes
        changes = self._changes.get((question.workspace, question.task), 0)
        if cached is not None and changes - cached.changes < limit:
            return cached.choice
        choice = self._search(question)
        self._cache[question] = _CachedChoice(choice, changes)
        return choice

    def _search(self, question: _Question) -> _Choice:
        ordered = question.candidates
        factor = confidence_factor(question.target.confidence)
        firsts = [self._qualities(question, one) for one in ordered]
        directs = [
            direct_option(index, one.cost_nano, firsts[index], factor)
            for index, one in enumerate(ordered)
        ]
        if not self._has_evidence(question):
            return _Choice(only(directs[-1]), directs[-1], 0.0, 0.0)
        options = list(directs)
        if question.max_steps > 1:
            for pair in itertools.combinations(range(len(ordered)), 2):
                options += self._pair_options(question, firsts, pair, factor)
        return self._choice(question, options, directs[0])

    def _choice(
        self, question: _Question, options: Sequence[Option], cheapest: Option
    ) -> _Choice:
        """Returns the safe plan that makes up for what exploration loses."""
        target = question.target.quality
        safe = cheapest_safe(options, target)
        safest = max(options, key=lambda option: option.lower_bound)
        hopeful = cheapest_expected(options, target)
        hopeful_share = self._hopeful_share(safe, hopeful)
        random_share = self._random_share(question, safest, cheapest)
        random_quality = (safest.lower_bound + cheapest.quality) / 2.0
        loss = hopeful_share * max(target - hopeful.cautious_quality, 0.0)
        loss += random_share * max(target - random_quality, 0.0)
        rest = max(1.0 - hopeful_share - random_share, 0.1)
        safe = cheapest_safe(options, target + loss / rest)
        return _Choice(safe, hopeful, hopeful_share, random_share)

    def _pair_options(
        self,
        question: _Question,
        firsts: Sequence[Sequence[BinQuality]],
        pair: tuple[int, int],
        factor: float,
    ) -> list[Option]:
        first, second = (question.candidates[index] for index in pair)
        key = AnswerKey(
            workspace=question.workspace,
            task=question.task,
            version=second.version,
            after=first.version,
        )
        prior = sum(one.share * one.mean for one in firsts[pair[1]])
        after = self._estimate(key, prior)
        costs = (first.cost_nano, second.cost_nano)
        return threshold_options(pair, costs, firsts[pair[0]], after, factor)

    def _qualities(
        self, question: _Question, candidate: Candidate
    ) -> tuple[BinQuality, ...]:
        key = AnswerKey(
            workspace=question.workspace,
            task=question.task,
            version=candidate.version,
        )
        return self._estimate(key, candidate.prior_quality)

    def _estimate(
        self, key: AnswerKey, prior_quality: float
    ) -> tuple[BinQuality, ...]:
        own = self._counts.bins(key)
        pooled = self._counts.bins(_pooled(key))
        return bin_qualities(own, pooled, prior_quality)

    def _has_evidence(self, question: _Question) -> bool:
        key = AnswerKey(
            workspace=_ALL_WORKSPACES,
            task=question.task,
            version=question.candidates[-1].version,
        )
        ratings = sum(one.ratings for one in self._counts.bins(key))
        return ratings >= self._settings.min_ratings


def _drawn(blend: Blend, rng: random.Random) -> Option:
    if blend.other_share > 0.0 and rng.random() < blend.other_share:
        return blend.other
    return blend.main


def _explored(
    choice: _Choice,
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
    highest = BIN_COUNT if option.second is None else option.accept_from
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


def _key(plan: CascadePlan, step: int) -> AnswerKey:
    after = plan.steps[step - 1].version if step > 0 else None
    return AnswerKey(
        workspace=plan.workspace,
        task=plan.task,
        version=plan.steps[step].version,
        after=after,
    )


def _pooled(key: AnswerKey) -> AnswerKey:
    return dataclasses.replace(key, workspace=_ALL_WORKSPACES)
