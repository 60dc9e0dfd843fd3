from __future__ import annotations

import dataclasses
from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from trefoilpitch.bundle import VersionRef, check_bundle
from trefoilpitch.clock import ManualClock
from trefoilpitch.configuration import (
    EMPTY_CONFIGURATION,
    HEAD_KEY,
    AdvanceRollout,
    Change,
    CommitUnknownError,
    Delta,
    PauseRollout,
    ResumeRollout,
    RollBack,
    RolloutPhase,
    SetFailureDomain,
    SetVm,
    SignOffBundle,
    StartRollout,
    WithdrawVersion,
    apply_change,
    configuration_writer,
)
from trefoilpitch.configuration._codec import (
    configuration_digest,
    decode_delta,
    decode_head,
    decode_snapshot,
    encode_delta,
    encode_snapshot,
)
from trefoilpitch.configuration._deltas import (
    OpaqueChange,
    ReplaceBundle,
    apply_delta,
    record_change,
)
from trefoilpitch.configuration.tests.examples import (
    BUNDLE,
    bundle_version,
    sign_off,
    vm_out,
)
from trefoilpitch.configuration.tests.stores import HookedStore, Put
from trefoilpitch.store import (
    OutcomeUnknownError,
    StoreError,
    memory_store,
)

_MODELS = st.sampled_from([model.name for model in BUNDLE.models])
_VERSIONS = st.sampled_from(
    [
        VersionRef(model.name, version.name)
        for model in BUNDLE.models
        for version in model.versions
    ]
)
_CHANGE_FIELDS = {"change_id": st.just("1"), "author": st.just("mere")}
_CHANGES: st.SearchStrategy[Change] = st.one_of(
    st.builds(
        SignOffBundle,
        bundle=st.builds(
            lambda version, rollouts: dataclasses.replace(
                bundle_version(version, weight=version), rollouts=rollouts
            ),
            st.integers(1, 9),
            st.sampled_from([BUNDLE.rollouts, ()]),
        ),
        **_CHANGE_FIELDS,
    ),
    st.builds(WithdrawVersion, ref=_VERSIONS, **_CHANGE_FIELDS),
    st.builds(
        SetFailureDomain,
        failure_domain=st.sampled_from(BUNDLE.failure_domains),
        in_service=st.booleans(),
        **_CHANGE_FIELDS,
    ),
    st.builds(
        SetVm,
        vm=st.sampled_from("xy"),
        in_service=st.booleans(),
        **_CHANGE_FIELDS,
    ),
    st.builds(
        StartRollout,
        model=_MODELS,
        to_version=st.just("2026.11"),
        **_CHANGE_FIELDS,
    ),
    st.builds(
        AdvanceRollout,
        model=_MODELS,
        from_step=st.integers(0, 3),
        **_CHANGE_FIELDS,
    ),
    st.builds(PauseRollout, model=_MODELS, **_CHANGE_FIELDS),
    st.builds(ResumeRollout, model=_MODELS, **_CHANGE_FIELDS),
    st.builds(RollBack, model=_MODELS, **_CHANGE_FIELDS),
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(_CHANGES, max_size=30))
def test_recorded_changes_make_the_same_configuration(
    changes: list[Change],
) -> None:
    before = apply_change(EMPTY_CONFIGURATION, sign_off()).unwrap()
    for change in changes:
        outcome = apply_change(before, change)
        if isinstance(outcome, Failure):
            continue
        after = outcome.unwrap()
        assert after.revision == before.revision + 1
        assert before.withdrawn <= after.withdrawn
        assert after.bundle is not None
        assert check_bundle(after.bundle) == ()
        for state in after.rollouts:
            ref = VersionRef(state.model, state.to_version)
            if ref in after.withdrawn:
                assert state.phase is RolloutPhase.ROLLED_BACK
        recorded = record_change(before, change)
        encoded = encode_delta(Delta(revision=after.revision, change=recorded))
        delta = decode_delta(encoded).unwrap()
        if not isinstance(recorded, ReplaceBundle):
            assert apply_delta(before, delta).unwrap() == after
        snapshot = encode_snapshot(after)
        digest = configuration_digest(after)
        assert decode_snapshot(snapshot, digest).unwrap() == after
        before = after


def test_delta_of_an_unknown_kind_is_kept_and_not_applied() -> None:
    change = OpaqueChange(
        change_id="1",
        author="mere",
        kind="later_release",
        body=b"\x82\xa9change_id\xa11\xa6author\xa4mere",
    )
    delta = Delta(revision=1, change=change)
    decoded = decode_delta(encode_delta(delta)).unwrap()
    assert decoded == delta
    assert (
        "later_release"
        in apply_delta(EMPTY_CONFIGURATION, decoded).failure().message
    )


_Hook = Callable[[Put], Result[int, StoreError]]
_FAULTS = st.sampled_from(
    ["none", "lose request", "lose reply", "lose store", "rival", "delay"]
)


class _WriterHarness:
    """A writer under fault injection, a competing writer and their store."""

    def __init__(self) -> None:
        self.store = HookedStore(memory_store(ManualClock()))
        self.competing_commits = 0
        self.delayed: list[Put] = []
        self.writer = configuration_writer(self.store)
        self.writer.commit(sign_off()).unwrap()

    def hook(self, fault: str) -> _Hook:
        lost = Failure(OutcomeUnknownError(detail="lost"))

        def intercept(put: Put) -> Result[int, StoreError]:
            for delayed_put in self.delayed:
                delayed_put()
            if fault == "rival":
                self.competing_commits += 1
                other_writer = configuration_writer(self.store.inner)
                other_writer.commit(vm_out(f"rival-{self.competing_commits}"))
            if fault == "delay":
                self.delayed.append(put)
            if fault in ("lose request", "delay"):
                return lost
            outcome = put()
            if fault == "lose store":
                self.store.inner.set_down(True)
            return lost if fault in ("lose reply", "lose store") else outcome

        return intercept

    def committed(self) -> list[str]:
        """Returns the change ids of all commits, in the order of revisions."""
        ids: dict[int, str] = {}
        watch = self.store.inner.watch(HEAD_KEY, 1).unwrap()
        for event in watch.receive(0).unwrap().events:
            delta = decode_head(event.value).unwrap().deltas[-1]
            assert delta.revision == len(ids) + 1
            ids[delta.revision] = delta.change_id
        watch.cancel()
        return list(ids.values())


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.lists(_FAULTS, max_size=5), max_size=8))
def test_each_change_is_committed_at_most_once(
    plans: list[list[str]],
) -> None:
    harness = _WriterHarness()
    for number, faults in enumerate(plans):
        change = vm_out(f"vm-{number}")
        harness.store.hooks = [harness.hook(fault) for fault in faults]
        outcome = harness.writer.commit(change)
        harness.store.inner.set_down(False)
        harness.store.hooks = []
        if isinstance(outcome, Success):
            assert harness.committed().count(change.change_id) == 1
        for delayed_put in harness.delayed:
            delayed_put()
        harness.delayed.clear()
        count = harness.committed().count(change.change_id)
        assert count <= 1
        if isinstance(outcome, Failure) and not isinstance(
            outcome.failure(), CommitUnknownError
        ):
            assert count == 0
        if not isinstance(outcome, Success):
            assert harness.writer.commit(change).unwrap()
            assert harness.committed().count(change.change_id) == 1
