"""Compares `confirm_dispatch` with an oracle on random configurations.

The configuration and the upstreams may change between choice and dispatch.
"""

from __future__ import annotations

import dataclasses
import random

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from trefoilpitch.bundle import VersionRef
from trefoilpitch.configuration import (
    Configuration,
    RolloutPhase,
    RolloutState,
)
from trefoilpitch.routing import (
    Confirmed,
    Decision,
    UpstreamState,
    choose_upstream,
    choose_versions,
    confirm_dispatch,
    routing_table,
)
from trefoilpitch.routing.tests import examples

_VERSIONS = [
    VersionRef("cheap", "0"),
    examples.CHEAP_1,
    examples.CHEAP_2,
    examples.EXPENSIVE_1,
]
_ENGINES = [f"engine-{index}" for index in range(6)]

_configurations = st.builds(
    Configuration,
    revision=st.just(2),
    bundle=st.just(examples.bundle()),
    withdrawn=st.frozensets(st.sampled_from(_VERSIONS)),
    failure_domains_out=st.frozensets(
        st.sampled_from(examples.DOMAINS), max_size=2
    ),
    vms_out=st.frozensets(st.sampled_from(_ENGINES), max_size=4),
    rollouts=st.tuples(
        st.builds(
            RolloutState,
            model=st.just("cheap"),
            to_version=st.just("2"),
            step=st.integers(0, 3),
            phase=st.sampled_from(RolloutPhase),
        )
    ),
)


@st.composite
def _states(draw: st.DrawFn) -> dict[str, UpstreamState]:
    names = draw(st.sets(st.sampled_from(_ENGINES)))
    return {
        name: UpstreamState(
            name=name,
            in_flight=draw(st.integers(0, 3)),
            cold=draw(st.booleans()),
            allowance=draw(st.integers(0, 1)),
            concurrency_limit=draw(st.sampled_from([None, 2])),
            leaving=draw(st.booleans()),
            incarnation=draw(st.sampled_from(["a", "b"])),
            versions=draw(
                st.none() | st.frozensets(st.sampled_from(_VERSIONS))
            ),
        )
        for name in names
    }


def _may_run(
    decision: Decision,
    configuration: Configuration,
    states: dict[str, UpstreamState],
) -> bool:
    """Oracle: the dispatch rules, written independently of the product."""
    assert isinstance(decision.target, VersionRef)
    index = int(decision.upstream.removeprefix("engine-"))
    allowed_models = {
        "parish": {"cheap", "expensive"},
        "visitor": {"cheap"},
    }[decision.workspace]
    only_version = {"parish": None, "visitor": "1"}[decision.workspace]
    state = states.get(decision.upstream)
    return (
        decision.target.model in allowed_models
        and (only_version is None or decision.target.version == only_version)
        and decision.target not in configuration.withdrawn
        and examples.DOMAINS[index % 3] not in configuration.failure_domains_out
        and decision.upstream not in configuration.vms_out
        and state is not None
        and not state.leaving
        and (state.versions is None or decision.target in state.versions)
        and state.incarnation == decision.incarnation
        and (not state.cold or state.allowance > 0)
        and (
            state.concurrency_limit is None
            or state.in_flight < state.concurrency_limit
        )
    )


@settings(derandomize=True, deadline=None, max_examples=400)
@given(
    before=_configurations,
    after=st.one_of(st.none(), _configurations),
    states=_states(),
    later=st.one_of(st.none(), _states()),
    left=st.sets(st.sampled_from(_ENGINES)),
    workspace=st.sampled_from(["parish", "visitor"]),
    seed=st.integers(0, 1_000),
)
def test_dispatch_follows_the_newest_configuration(
    *,
    before: Configuration,
    after: Configuration | None,
    states: dict[str, UpstreamState],
    later: dict[str, UpstreamState] | None,
    left: set[str],
    workspace: str,
    seed: int,
) -> None:
    table = routing_table(before)
    versions = choose_versions(table, workspace, "tag", key=str(seed))
    if not isinstance(versions, Success):
        return
    rng = random.Random(seed)
    version = rng.choice(versions.unwrap())
    chosen = choose_upstream(table, version, states, rng)
    if not isinstance(chosen, Success):
        return
    name = chosen.unwrap().name
    decision = Decision(
        workspace=workspace,
        target=version,
        upstream=name,
        incarnation=states[name].incarnation,
        revision=before.revision,
        task="tag",
    )
    assert _may_run(decision, before, states)
    newest = dataclasses.replace(after or before, revision=3)
    now = {
        name: dataclasses.replace(state, leaving=state.leaving or name in left)
        for name, state in (states if later is None else later).items()
    }
    outcome = confirm_dispatch(decision, routing_table(newest), now)
    assert isinstance(outcome, Confirmed) is _may_run(decision, newest, now)
