from __future__ import annotations

import dataclasses
from collections.abc import Iterable

import pytest

from trefoilpitch.bundle import VersionRef
from trefoilpitch.configuration import (
    EMPTY_CONFIGURATION,
    AdvanceRollout,
    Change,
    ChangeError,
    Configuration,
    PauseRollout,
    Refusal,
    ResumeRollout,
    RollBack,
    RolloutPhase,
    SetFailureDomain,
    SetVm,
    SignOffBundle,
    StartRollout,
    WithdrawVersion,
    apply_change,
)
from trefoilpitch.configuration.tests.examples import BUNDLE

_MODEL = "sermon-small"
_NEW_VERSION = VersionRef(_MODEL, "2026.11")


def _change_fields(number: int = 1) -> dict[str, str]:
    return {"change_id": f"c{number}", "author": "mere"}


def _sign_off(**fields: object) -> SignOffBundle:
    bundle = dataclasses.replace(BUNDLE, **fields)  # type: ignore[arg-type]
    return SignOffBundle(bundle=bundle, **_change_fields())


def _apply_all(changes: Iterable[Change]) -> Configuration:
    configuration = EMPTY_CONFIGURATION
    for change in changes:
        configuration = apply_change(configuration, change).unwrap()
    return configuration


_START = StartRollout(model=_MODEL, to_version="2026.11", **_change_fields())
_WITHDRAW = WithdrawVersion(ref=_NEW_VERSION, **_change_fields())
_DOMAIN_OUT = SetFailureDomain(
    failure_domain="nadi", in_service=False, **_change_fields()
)
_SIGNED_OFF = (_sign_off(),)


def _advance(from_step: int) -> AdvanceRollout:
    return AdvanceRollout(model=_MODEL, from_step=from_step, **_change_fields())


_COMPLETE: tuple[Change, ...] = (_START, *(_advance(step) for step in range(4)))


def _sign_off_without_new_version() -> SignOffBundle:
    model = dataclasses.replace(
        BUNDLE.models[0], versions=BUNDLE.models[0].versions[:1]
    )
    models = (model, *BUNDLE.models[1:])
    return _sign_off(version=2, models=models, rollouts=())


@pytest.mark.parametrize(
    ("before", "change", "refusal"),
    [
        ((), _DOMAIN_OUT, Refusal.NO_BUNDLE),
        ((), _WITHDRAW, Refusal.NO_BUNDLE),
        ((), _START, Refusal.UNKNOWN_NAME),
        (_SIGNED_OFF, _sign_off(), Refusal.NOT_NEWER),
        (_SIGNED_OFF, _sign_off(name="other", version=9), Refusal.NOT_NEWER),
        (
            _SIGNED_OFF,
            SetFailureDomain(
                failure_domain="x", in_service=False, **_change_fields()
            ),
            Refusal.UNKNOWN_NAME,
        ),
        ((*_SIGNED_OFF, _DOMAIN_OUT), _DOMAIN_OUT, Refusal.NO_EFFECT),
        (
            _SIGNED_OFF,
            SetVm(vm="small-suva", in_service=True, **_change_fields()),
            Refusal.NO_EFFECT,
        ),
        (
            _SIGNED_OFF,
            WithdrawVersion(ref=VersionRef(_MODEL, "1"), **_change_fields()),
            Refusal.UNKNOWN_NAME,
        ),
        ((*_SIGNED_OFF, _WITHDRAW), _WITHDRAW, Refusal.NO_EFFECT),
        ((*_SIGNED_OFF, _WITHDRAW), _sign_off(version=2), Refusal.WITHDRAWN),
        ((*_SIGNED_OFF, _WITHDRAW), _START, Refusal.WITHDRAWN),
        ((*_SIGNED_OFF, _START), _START, Refusal.WRONG_PHASE),
        ((*_SIGNED_OFF, _START), _advance(1), Refusal.WRONG_PHASE),
        (
            (*_SIGNED_OFF, _START),
            ResumeRollout(model=_MODEL, **_change_fields()),
            Refusal.WRONG_PHASE,
        ),
        (
            _SIGNED_OFF,
            RollBack(model=_MODEL, **_change_fields()),
            Refusal.UNKNOWN_NAME,
        ),
        (
            (*_SIGNED_OFF, _START),
            _sign_off(version=2, rollouts=()),
            Refusal.WRONG_PHASE,
        ),
        (
            (*_SIGNED_OFF, *_COMPLETE),
            _sign_off(version=2, rollouts=()),
            Refusal.WRONG_PHASE,
        ),
        (
            _SIGNED_OFF,
            SetVm(vm="a", in_service=False, change_id="", author="mere"),
            Refusal.UNKNOWN_NAME,
        ),
    ],
)
def test_refused_change_says_why(
    before: tuple[Change, ...], change: Change, refusal: Refusal
) -> None:
    error = apply_change(_apply_all(before), change).failure()
    assert isinstance(error, ChangeError)
    assert error.refusal is refusal
    assert error.message


def test_rollout_advances_to_completion() -> None:
    paused = (_START, PauseRollout(model=_MODEL, **_change_fields()))
    state = _apply_all((*_SIGNED_OFF, *paused)).rollouts[0]
    assert (state.step, state.phase) == (0, RolloutPhase.PAUSED)
    resumed = (*paused, ResumeRollout(model=_MODEL, **_change_fields()))
    steps = tuple(_advance(step) for step in range(4))
    state = _apply_all((*_SIGNED_OFF, *resumed, *steps)).rollouts[0]
    assert (state.step, state.phase) == (3, RolloutPhase.COMPLETED)


@pytest.mark.parametrize("phase_changes", [(_START,), _COMPLETE])
def test_withdrawal_rolls_back_the_rollout_to_it(
    phase_changes: tuple[Change, ...],
) -> None:
    configuration = _apply_all((*_SIGNED_OFF, *phase_changes, _WITHDRAW))
    assert configuration.rollouts[0].phase is RolloutPhase.ROLLED_BACK
    assert configuration.withdrawn == {_NEW_VERSION}


def test_withdrawal_and_service_states_outlive_the_bundle() -> None:
    vm_out = SetVm(vm="entry-1", in_service=False, **_change_fields())
    before = (*_SIGNED_OFF, _DOMAIN_OUT, vm_out, _WITHDRAW)
    configuration = _apply_all((*before, _sign_off_without_new_version()))
    assert configuration.revision == len(before) + 1
    assert configuration.withdrawn == {_NEW_VERSION}
    assert configuration.failure_domains_out == {"nadi"}
    assert configuration.vms_out == {"entry-1"}
    reintroduced = dataclasses.replace(BUNDLE, version=3)
    change = SignOffBundle(bundle=reintroduced, **_change_fields())
    error = apply_change(configuration, change).failure()
    assert error.refusal is Refusal.WITHDRAWN


def test_completed_rollout_ends_when_its_version_becomes_the_default() -> None:
    model = dataclasses.replace(BUNDLE.models[0], default_version="2026.11")
    models = (model, *BUNDLE.models[1:])
    change = _sign_off(version=2, models=models, rollouts=())
    configuration = _apply_all((*_SIGNED_OFF, *_COMPLETE, change))
    assert configuration.rollouts == ()
