"""Changes between the decision and the dispatch of a request."""

from __future__ import annotations

import dataclasses

import pytest

from trefoilpitch.configuration import Configuration
from trefoilpitch.routing import (
    Confirmed,
    Decision,
    Invalidated,
    InvalidationReason,
    ServiceRef,
    UpstreamState,
    confirm_dispatch,
    routing_table,
)
from trefoilpitch.routing.tests import examples


def _without_engines() -> Configuration:
    bundle = examples.bundle()
    pool = dataclasses.replace(bundle.pools[0], upstreams=())
    pools = (pool, *bundle.pools[1:])
    return examples.changed_configuration(
        bundle=dataclasses.replace(bundle, pools=pools)
    )


def _narrowed_workspace() -> Configuration:
    bundle = examples.bundle()
    narrowed = dataclasses.replace(
        bundle.workspaces[0], allowed=("expensive@1",)
    )
    workspaces = (narrowed, *bundle.workspaces[1:])
    return examples.changed_configuration(
        bundle=dataclasses.replace(bundle, workspaces=workspaces)
    )


@pytest.mark.parametrize(
    ("newest", "reason"),
    [
        (
            examples.changed_configuration(
                withdrawn=frozenset({examples.CHEAP_1})
            ),
            InvalidationReason.VERSION_WITHDRAWN,
        ),
        (_narrowed_workspace(), InvalidationReason.TARGET_NOT_ALLOWED),
        (
            examples.changed_configuration(
                failure_domains_out=frozenset({"north"})
            ),
            InvalidationReason.FAILURE_DOMAIN_OUT,
        ),
        (
            examples.changed_configuration(vms_out=frozenset({"engine-0"})),
            InvalidationReason.VM_OUT,
        ),
        (_without_engines(), InvalidationReason.UPSTREAM_REMOVED),
        (Configuration(revision=3), InvalidationReason.TARGET_NOT_ALLOWED),
    ],
)
def test_decision_is_invalidated_by_a_configuration_change(
    newest: Configuration, reason: InvalidationReason
) -> None:
    decision = examples.decision()
    outcome = confirm_dispatch(
        decision, routing_table(newest), examples.states()
    )
    assert outcome == Invalidated(decision=decision, reason=reason)


@pytest.mark.parametrize(
    ("state", "reason"),
    [
        (None, InvalidationReason.UPSTREAM_UNKNOWN),
        ({"leaving": True}, InvalidationReason.UPSTREAM_LEAVING),
        ({"incarnation": "b"}, InvalidationReason.UPSTREAM_RESTARTED),
        ({"versions": frozenset()}, InvalidationReason.VERSION_NOT_LOADED),
        ({"cold": True}, InvalidationReason.UPSTREAM_FULL),
        (
            {"in_flight": 4, "concurrency_limit": 4},
            InvalidationReason.UPSTREAM_FULL,
        ),
    ],
)
def test_decision_is_invalidated_when_the_upstream_changed(
    state: dict[str, object] | None, reason: InvalidationReason
) -> None:
    states = {}
    if state is not None:
        upstream_state = UpstreamState(name="engine-0", **state)  # type: ignore[arg-type]
        states["engine-0"] = upstream_state
    outcome = confirm_dispatch(
        examples.decision(), routing_table(examples.BASE), states
    )
    assert isinstance(outcome, Invalidated)
    assert outcome.reason is reason


@pytest.mark.parametrize(
    "decision",
    [
        examples.decision(),
        Decision(
            workspace="parish",
            target=ServiceRef("loans", "lend"),
            upstream="loans-0",
            incarnation="",
            revision=1,
        ),
    ],
)
def test_confirmed_decision_carries_the_newest_revision(
    decision: Decision,
) -> None:
    states = examples.states()
    states["loans-0"] = UpstreamState(name="loans-0")
    unrelated = examples.changed_configuration(vms_out=frozenset({"engine-5"}))
    outcome = confirm_dispatch(decision, routing_table(unrelated), states)
    assert isinstance(outcome, Confirmed)
    assert outcome.decision.revision == 2
