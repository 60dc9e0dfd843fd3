"""A thread-safe wrapper of the cascade policy."""

from __future__ import annotations

import random
import threading

from trefoilpitch.bundle import Task, VersionRef
from trefoilpitch.cascade import (
    Candidate,
    CascadePlan,
    CascadePolicy,
    CountsSnapshot,
    Finish,
    Rating,
    ResponseLabel,
    Target,
    Verdict,
)
from trefoilpitch.clock import Clock
from trefoilpitch.routing import RoutingTable
from trefoilpitch.serving._bills import find_model_version

# Epochs are numbered by wall-clock time, so that all nodes discount earlier
# ratings at the same rate.
EPOCH_MS = 3_600_000

# Lengths of a typical prompt and response, by which the costs of versions are
# compared.
_TYPICAL_PROMPT_TOKENS = 500
_TYPICAL_OUTPUT_TOKENS = 500


class CascadePlanner:
    """Plans cascades. Thread-safe.

    Args:
        policy: Plans the cascades and learns from ratings.
        rng: Source of random numbers.
        clock: Used for the epochs by which ratings are discounted.
    """

    def __init__(
        self, policy: CascadePolicy, rng: random.Random, clock: Clock
    ) -> None:
        self._policy = policy
        self._rng = rng
        self._clock = clock
        self._lock = threading.Lock()

    def plan(
        self,
        table: RoutingTable,
        workspace: str,
        task: Task,
        versions: tuple[VersionRef, ...],
    ) -> CascadePlan:
        """Returns the plan: the versions to run, one after the other."""
        candidates = [_candidate(table, version) for version in versions]
        candidates.sort(key=lambda candidate: candidate.cost_nano)
        target = Target(quality=task.quality_target, confidence=task.confidence)
        with self._lock:
            epoch = self._clock.wall_ms() // EPOCH_MS
            if epoch > self._policy.epoch:
                self._policy.advance_epoch(epoch)
            return self._policy.plan(
                workspace, task.name, candidates, target, self._rng
            )

    def judge(self, plan: CascadePlan, step: int, finish: Finish) -> Verdict:
        """Decides whether a step's complete response is delivered."""
        with self._lock:
            return self._policy.judge(plan, step, finish)

    def label(
        self, plan: CascadePlan, step: int, first_signal: float | None
    ) -> ResponseLabel:
        """Returns the label to attach to a rating of the response."""
        with self._lock:
            return self._policy.label(plan, step, first_signal)

    def observe(self, rating: Rating) -> None:
        """Updates the policy with a rating."""
        with self._lock:
            self._policy.observe(rating)

    def snapshot(self) -> CountsSnapshot:
        """Returns this node's counts, to be sent to the other nodes."""
        with self._lock:
            return self._policy.snapshot()

    def merge(self, snapshot: CountsSnapshot) -> None:
        """Merges another node's counts."""
        with self._lock:
            self._policy.merge(snapshot)


def _candidate(table: RoutingTable, version: VersionRef) -> Candidate:
    version_info = find_model_version(table, version)
    if version_info is None:
        return Candidate(version=version, cost_nano=0.0, prior_quality=0.0)
    cost_nano = version_info.prompt_cost_nano * _TYPICAL_PROMPT_TOKENS
    cost_nano += version_info.output_cost_nano * _TYPICAL_OUTPUT_TOKENS
    return Candidate(
        version=version,
        cost_nano=float(cost_nano),
        prior_quality=version_info.prior_quality,
    )
