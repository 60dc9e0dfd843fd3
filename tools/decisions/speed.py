"""Processor time of each decision, by size of the fleet."""

from __future__ import annotations

import dataclasses
import random
import time
from collections.abc import Callable

from tools.decisions.load_scenario import example_bundle
from trefoilpitch.bundle import (
    Bundle,
    Model,
    ModelVersion,
    Pool,
    Priority,
    Task,
    Upstream,
    UpstreamKind,
    VersionRef,
    Workspace,
)
from trefoilpitch.cascade import (
    Candidate,
    CascadePolicy,
    Finish,
    Target,
)
from trefoilpitch.configuration import Configuration
from trefoilpitch.limits import AdmissionQueue, Ticket
from trefoilpitch.routing import (
    Decision,
    LoadReport,
    UpstreamState,
    choose_upstream,
    choose_versions,
    confirm_dispatch,
    routing_table,
)

WORKERS = (12, 120, 400, 3_600)
_MODELS = 14
_VERSIONS = 2
_POOLS = 4
_DOMAINS = 9
_ROUNDS = 2_000
_NANO_PER_MICRO = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SpeedFigures:
    """Processor time of each step of a decision, in microseconds."""

    # Number of workers in the fleet.
    workers: int
    # Number of model versions.
    versions: int
    # Number of upstreams that the node tracks.
    followed: int
    # Choice of the versions.
    versions_us: float
    # Planning the cascade and judging its first response.
    cascade_us: float
    # Entering and leaving the admission queue.
    queue_us: float
    # Choice of the upstream.
    upstream_us: float
    # Confirmation at dispatch.
    confirm_us: float
    # Sum of the steps.
    total_us: float
    # Time to build the routing table of a revision, in milliseconds.
    table_ms: float


def fleet_bundle(workers: int) -> Bundle:
    """Returns a bundle with 28 versions in four pools."""
    models = tuple(
        Model(
            name=f"model-{index}",
            versions=tuple(
                ModelVersion(
                    name=str(number),
                    prompt_cost_nano=1 + index,
                    output_cost_nano=1 + index,
                )
                for number in range(_VERSIONS)
            ),
            default_version="0",
        )
        for index in range(_MODELS)
    )
    serves = tuple(
        f"{model.name}@{version.name}"
        for model in models
        for version in model.versions
    )
    pools = tuple(
        Pool(
            name=f"pool-{pool}",
            kind=UpstreamKind.ENGINE,
            serves=serves[pool::_POOLS],
            upstreams=tuple(
                Upstream(
                    name=f"engine-{pool}-{index}",
                    address=f"10.{pool}.{index // 250}.{index % 250}:9000",
                    failure_domain=f"domain-{index % _DOMAINS}",
                    capacity=16,
                )
                for index in range(workers // _POOLS)
            ),
        )
        for pool in range(_POOLS)
    )
    return dataclasses.replace(
        example_bundle(),
        models=models,
        pools=pools,
        tasks=(
            Task(
                name="task",
                cascade=("model-0", "model-13"),
                quality_target=0.9,
            ),
        ),
        workspaces=tuple(
            Workspace(
                name=f"workspace-{index}",
                token_sha256="",
                allowed=tuple(f"{model.name}@*" for model in models),
                tasks=("task",),
            )
            for index in range(10)
        ),
    )


def measure(seed: int) -> list[SpeedFigures]:
    """Measures the decisions of one node in fleets of several sizes."""
    return [_measure_fleet(seed, workers) for workers in WORKERS]


def _measure_fleet(seed: int, workers: int) -> SpeedFigures:
    rng = random.Random(seed)
    configuration = Configuration(revision=1, bundle=fleet_bundle(workers))
    # The ratio of nodes to workers at the designed fleet size.
    nodes = max(workers * 390 // 3_600, 6)
    started_ns = time.process_time_ns()
    table = routing_table(configuration, node="node-1", nodes=nodes)
    table_ms = (time.process_time_ns() - started_ns) / 1e6
    states = {
        upstream.name: UpstreamState(
            name=upstream.name,
            in_flight=rng.randrange(4),
            concurrency_limit=16,
            report=LoadReport(
                running=rng.randrange(12), waiting=0, capacity=16, age_ms=300
            ),
        )
        for members in table.pool_members.values()
        for upstream in members
    }
    target = VersionRef("model-0", "0")
    chosen = choose_upstream(table, target, states, rng).unwrap()
    decision = Decision(
        workspace="workspace-1",
        target=target,
        upstream=chosen.name,
        incarnation="",
        revision=1,
        task="task",
    )
    versions_us = _time_us(
        lambda index: choose_versions(
            table, "workspace-1", "task", key=f"session-{index}"
        )
    )
    cascade_us = _time_us(_cascade_step(rng))
    queue_us = _time_us(_queue_step())
    upstream_us = _time_us(
        lambda index: choose_upstream(
            table, target, states, rng, local_domain="domain-1"
        )
    )
    confirm_us = _time_us(
        lambda index: confirm_dispatch(decision, table, states)
    )
    parts = (versions_us, cascade_us, queue_us, upstream_us, confirm_us)
    return SpeedFigures(
        workers=workers,
        versions=_MODELS * _VERSIONS,
        followed=len(states),
        versions_us=versions_us,
        cascade_us=cascade_us,
        queue_us=queue_us,
        upstream_us=upstream_us,
        confirm_us=confirm_us,
        total_us=round(sum(parts), 1),
        table_ms=round(table_ms, 2),
    )


def _cascade_step(rng: random.Random) -> Callable[[int], object]:
    policy = CascadePolicy("measured")
    candidates = tuple(
        Candidate(
            version=VersionRef(f"model-{index}", "0"),
            cost_nano=1.0 + 9.0 * index,
            prior_quality=0.6 + 0.3 * index,
        )
        for index in range(2)
    )
    target = Target(quality=0.9, confidence=0.9)

    def step(index: int) -> object:
        workspace = f"workspace-{index % 10}"
        plan = policy.plan(workspace, "task", candidates, target, rng)
        return policy.judge(plan, 0, Finish(signal=rng.random(), cost_nano=1))

    return step


def _queue_step() -> Callable[[int], object]:
    queue = AdmissionQueue(64)
    for index in range(100):
        queue.offer(_ticket(f"waiting-{index}", index), 0)

    def step(index: int) -> object:
        queue.offer(_ticket(f"request-{index}", index), index)
        queue.expire(index)
        return queue.take(index)

    return step


def _ticket(request_id: str, index: int) -> Ticket:
    return Ticket(
        request_id=request_id,
        workspace=f"workspace-{index % 10}",
        weight=1,
        priority=Priority.STANDARD,
        deadline_ms=10_000_000,
        expected_run_ms=500,
    )


def _time_us(step: Callable[[int], object]) -> float:
    for index in range(_ROUNDS // 10):
        step(-1 - index)
    started_ns = time.process_time_ns()
    for index in range(_ROUNDS):
        step(index)
    elapsed_ns = time.process_time_ns() - started_ns
    return round(elapsed_ns / _ROUNDS / _NANO_PER_MICRO, 2)
