"""Example bundle with two pools in three failure domains."""

from __future__ import annotations

import dataclasses

from trefoilpitch.bundle import (
    Bundle,
    Model,
    ModelVersion,
    Operation,
    Pool,
    RolloutPlan,
    Service,
    Task,
    Upstream,
    UpstreamKind,
    VersionRef,
    Workspace,
)
from trefoilpitch.configuration import Configuration
from trefoilpitch.routing import Decision, UpstreamState

DOMAINS = ("north", "west", "south")
CHEAP_1 = VersionRef("cheap", "1")
CHEAP_2 = VersionRef("cheap", "2")
EXPENSIVE_1 = VersionRef("expensive", "1")


def engine(index: int) -> Upstream:
    return Upstream(
        name=f"engine-{index}",
        address=f"127.0.0.1:{9000 + index}",
        failure_domain=DOMAINS[index % 3],
        capacity=10,
    )


def bundle(engines: int = 6) -> Bundle:
    def version(name: str) -> ModelVersion:
        return ModelVersion(name=name, prompt_cost_nano=1, output_cost_nano=1)

    return Bundle(
        name="example",
        version=1,
        failure_domains=DOMAINS,
        models=(
            Model(
                name="cheap",
                versions=(version("0"), version("1"), version("2")),
                default_version="1",
            ),
            Model(
                name="expensive", versions=(version("1"),), default_version="1"
            ),
        ),
        pools=(
            Pool(
                name="engines",
                kind=UpstreamKind.ENGINE,
                serves=("cheap@0", "cheap@1", "cheap@2", "expensive@1"),
                upstreams=tuple(engine(index) for index in range(engines)),
            ),
            Pool(
                name="loans",
                kind=UpstreamKind.SERVICE,
                upstreams=(
                    Upstream(
                        name="loans-0",
                        address="127.0.0.1:9500",
                        failure_domain="north",
                        capacity=5,
                    ),
                ),
            ),
        ),
        tasks=(
            Task(
                name="tag", cascade=("cheap", "expensive"), quality_target=0.9
            ),
            Task(name="other", cascade=("expensive",), quality_target=0.9),
        ),
        services=(
            Service(
                name="loans",
                pool="loans",
                operations=(
                    Operation(name="lend", method="POST", idempotent=False),
                ),
            ),
        ),
        workspaces=(
            Workspace(
                name="parish",
                token_sha256="",
                allowed=("cheap@*", "expensive@1"),
                tasks=("tag",),
                services=("loans",),
            ),
            Workspace(
                name="visitor",
                token_sha256="",
                allowed=("cheap@1",),
                tasks=("tag",),
            ),
        ),
        rollouts=(RolloutPlan(model="cheap", to_version="2"),),
    )


BASE = Configuration(revision=1, bundle=bundle())


def changed_configuration(**changes: object) -> Configuration:
    return dataclasses.replace(BASE, revision=2, **changes)  # type: ignore[arg-type]


def states(count: int = 6, **changes: object) -> dict[str, UpstreamState]:
    return {
        f"engine-{index}": UpstreamState(
            name=f"engine-{index}",
            **changes,  # type: ignore[arg-type]
        )
        for index in range(count)
    }


def decision(**changes: object) -> Decision:
    base = Decision(
        workspace="parish",
        target=CHEAP_1,
        upstream="engine-0",
        incarnation="",
        revision=1,
        task="tag",
    )
    return dataclasses.replace(base, **changes)  # type: ignore[arg-type]
