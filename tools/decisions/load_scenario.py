"""Requests, results and engines of the load measurement."""

from __future__ import annotations

import collections
import dataclasses

from trefoilpitch.bundle import (
    Bundle,
    Model,
    ModelVersion,
    Pool,
    Priority,
    Upstream,
    UpstreamKind,
    VersionRef,
)

VERSION = VersionRef("bench", "1")
DOMAINS = ("a", "b", "c")
ENGINES = 6
CAPACITY = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestKind:
    """A class of requests with the same priority."""

    priority: Priority
    # Share of the requests, from 0 to 1.
    share: float
    # Mean run time, in milliseconds.
    run_ms: float
    # Time limit from arrival to response, in milliseconds.
    deadline_ms: int


REQUEST_KINDS = (
    RequestKind(
        priority=Priority.INTERACTIVE,
        share=0.4,
        run_ms=400.0,
        deadline_ms=5_000,
    ),
    RequestKind(
        priority=Priority.STANDARD, share=0.4, run_ms=600.0, deadline_ms=20_000
    ),
    RequestKind(
        priority=Priority.BATCH, share=0.2, run_ms=1_500.0, deadline_ms=120_000
    ),
)
MEAN_RUN_MS = sum(kind.share * kind.run_ms for kind in REQUEST_KINDS)


@dataclasses.dataclass(slots=True)
class Job:
    """One simulated request."""

    kind: RequestKind
    workspace: str
    # When it arrived, in virtual milliseconds.
    arrival_ms: float
    # Its run time on an engine, in milliseconds.
    run_ms: float
    # Whether it is the retry of a refused request.
    is_retry: bool = False


@dataclasses.dataclass(slots=True)
class Outcomes:
    """Results of the jobs of one run."""

    # Latencies of successful jobs by priority, in milliseconds.
    latencies: dict[Priority, list[float]]
    # Number of offered jobs by priority.
    offered: collections.Counter[Priority]
    # Number of jobs that met their deadline, by priority.
    in_time: collections.Counter[Priority]
    # Number of refused jobs by priority.
    refused: collections.Counter[Priority]
    # Numbers of offered jobs and of those that met their deadline, by
    # workspace.
    by_workspace: dict[str, list[int]]
    # Number of retries, and of those that were admitted.
    retries: list[int]


def example_bundle(engines: int = ENGINES, cold_capacity: int = 1) -> Bundle:
    """Returns a bundle with one pool of engines in all failure domains."""
    return Bundle(
        name="measured",
        version=1,
        failure_domains=DOMAINS,
        models=(
            Model(
                name=VERSION.model,
                versions=(
                    ModelVersion(
                        name=VERSION.version,
                        prompt_cost_nano=1,
                        output_cost_nano=1,
                    ),
                ),
                default_version=VERSION.version,
            ),
        ),
        pools=(
            Pool(
                name="engines",
                kind=UpstreamKind.ENGINE,
                serves=(str(VERSION),),
                upstreams=tuple(
                    Upstream(
                        name=f"engine-{index}",
                        address=f"127.0.0.1:{9000 + index}",
                        failure_domain=DOMAINS[index % len(DOMAINS)],
                        capacity=CAPACITY,
                        cold_capacity=cold_capacity,
                    )
                    for index in range(engines)
                ),
            ),
        ),
    )
