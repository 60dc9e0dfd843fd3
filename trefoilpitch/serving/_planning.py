"""The cascade policy, shared by the threads that serve requests."""

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
from trefoilpitch.serving._bills import model_version

# Nodes count the same epochs, so that their ratings fade alike.
EPOCH_MS = 3_600_000

# Length of a typical prompt and answer, to compare versions by price.
_TYPICAL_PROMPT_TOKENS = 500
_TYPICAL_OUTPUT_TOKENS = 500


class CascadePlanner:
    """Plans cascades; safe for use by many threads.

    Args:
        policy: Learns from ratings and plans.
        rng: Source of random numbers.
        clock: Tells when earlier ratings have faded.
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
        """Returns the versions to run, one after the other."""
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
        """Decides whether a step's whole answer is delivered."""
        with self._lock:
            return self._policy.judge(plan, step, finish)

    def label(
        self, plan: CascadePlan, step: int, first_signal: float | None
    ) -> ResponseLabel:
        """Returns what a rating of the delivered answer must carry."""
        with self._lock:
            return self._policy.label(plan, step, first_signal)

    def observe(self, rating: Rating) -> None:
        """Learns from a rating."""
        with self._lock:
            self._policy.observe(rating)

    def snapshot(self) -> CountsSnapshot:
        """Returns this node's counts for the other nodes."""
        with self._lock:
            return self._policy.snapshot()

    def merge(self, snapshot: CountsSnapshot) -> None:
        """Takes in another node's counts."""
        with self._lock:
            self._policy.merge(snapshot)


def _candidate(table: RoutingTable, version: VersionRef) -> Candidate:
    node = model_version(table, version)
    if node is None:
        return Candidate(version=version, cost_nano=0.0, prior_quality=0.0)
    cost_nano = node.prompt_cost_nano * _TYPICAL_PROMPT_TOKENS
    cost_nano += node.output_cost_nano * _TYPICAL_OUTPUT_TOKENS
    return Candidate(
        version=version,
        cost_nano=float(cost_nano),
        prior_quality=node.prior_quality,
    )
