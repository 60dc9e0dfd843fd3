"""Requests, outcomes and engines of the load measurement."""

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
class Kind:
    """A kind of request."""

    # How urgently it is served.
    priority: Priority
    # Share of the requests, from 0 to 1.
    share: float
    # Mean run time, in milliseconds.
    run_ms: float
    # Time that it may take in all, in milliseconds.
    deadline_ms: int


KINDS = (
    Kind(
        priority=Priority.INTERACTIVE,
        share=0.4,
        run_ms=400.0,
        deadline_ms=5_000,
    ),
    Kind(
        priority=Priority.STANDARD, share=0.4, run_ms=600.0, deadline_ms=20_000
    ),
    Kind(
        priority=Priority.BATCH, share=0.2, run_ms=1_500.0, deadline_ms=120_000
    ),
)
MEAN_RUN_MS = sum(kind.share * kind.run_ms for kind in KINDS)


@dataclasses.dataclass(slots=True)
class Job:
    """One request on its way."""

    # What it is.
    kind: Kind
    # The workspace that asks.
    workspace: str
    # When it arrived, in virtual milliseconds.
    arrival_ms: float
    # How long it runs.
    run_ms: float
    # Whether it was refused before and came again.
    again: bool = False


@dataclasses.dataclass(slots=True)
class Outcomes:
    """What became of the jobs of one run."""

    # Latencies of whole answers by priority, in milliseconds.
    latencies: dict[Priority, list[float]]
    # Jobs offered by priority.
    offered: collections.Counter[Priority]
    # Jobs answered within their deadline by priority.
    in_time: collections.Counter[Priority]
    # Jobs refused by priority.
    refused: collections.Counter[Priority]
    # Jobs offered and answered in time by workspace.
    by_workspace: dict[str, list[int]]
    # Jobs that came again as asked, and those of them that were admitted.
    again: list[int]


def example_bundle(engines: int = ENGINES, cold_capacity: int = 1) -> Bundle:
    """Returns a bundle with one pool that spans the failure domains."""
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
