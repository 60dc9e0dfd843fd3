"""Reconciles the engines' versions with the configuration, as a state machine.

Each order is decided from a status read just before it and contains the whole
set of versions, and every order is followed by another read. If an order is
lost, duplicated or delayed, or an engine without fencing executes the order of
an earlier lease holder, the next read shows the difference and it is corrected.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from trefoilpitch.bundle import VersionRef
from trefoilpitch.orders._desired import EngineTarget, desired_targets
from trefoilpitch.orders._events import (
    Action,
    CallFailed,
    ConfigurationChanged,
    Event,
    LeaseAcquired,
    LeaseLost,
    OrderAccepted,
    ReadStatus,
    SendOrder,
    StatusRead,
    Tick,
)
from trefoilpitch.orders._exceptions import (
    OrderOutcomeUnknownError,
    OrderRejectedError,
    StaleFencingError,
)
from trefoilpitch.orders._load_budget import LoadBudget
from trefoilpitch.orders._plan import Plan, next_plan, update_unwanted_since
from trefoilpitch.orders._state import (
    EngineView,
    FailedCall,
    PendingCall,
    ReconcilerState,
)
from trefoilpitch.orders._types import EngineOrder, EngineStatus

Step = tuple[ReconcilerState, tuple[Action, ...]]
# Bounds the shift in the exponential backoff.
_MAX_DOUBLINGS = 16
_TIMED_OUT = OrderOutcomeUnknownError(
    detail="no response within call_timeout_ms"
)


def step(state: ReconcilerState, event: Event, now_ms: int) -> Step:
    """Applies one event.

    Args:
        state: The state before the event; not modified.
        event: The event to apply; results of calls that are no longer pending
            are ignored.
        now_ms: Monotonic time of the event.

    Returns:
        The state after the event, and the calls to make now. At most one call
        per engine is pending at a time.
    """
    match event:
        case Tick():
            return _read_due_engines(_time_out_calls(state, now_ms), now_ms)
        case ConfigurationChanged(configuration=configuration):
            targets = desired_targets(configuration, state.scope)
            return _read_due_engines(
                _with_targets(state, targets, now_ms), now_ms
            )
        case LeaseAcquired(fencing_number=fencing_number):
            return _read_due_engines(
                _with_lease(state, fencing_number, now_ms), now_ms
            )
        case LeaseLost():
            state = _with_lease(state, None, now_ms)
        case StatusRead() if _is_pending(state, event.engine, event.call_id):
            return _on_status_read(state, event.engine, event.status, now_ms)
        case OrderAccepted() if _is_pending(state, event.engine, event.call_id):
            state = _on_order_accepted(state, event.engine, now_ms)
        case CallFailed() if _is_pending(state, event.engine, event.call_id):
            state = _on_call_failed(state, event, now_ms)
        case _:
            pass
    return state, ()


def _on_order_accepted(
    state: ReconcilerState, name: str, now_ms: int
) -> ReconcilerState:
    """Schedules the read that confirms an accepted order."""
    view = state.engines[name]
    loads = frozenset() if view.call is None else view.call.loads
    failed_ms = now_ms + state.settings.load_timeout_ms
    view = dataclasses.replace(
        view,
        call=None,
        unconfirmed_loads={
            **view.unconfirmed_loads,
            **dict.fromkeys(loads, failed_ms),
        },
        next_read_ms=now_ms + state.settings.confirm_interval_ms,
    )
    return state.with_engine(name, view)


def _is_pending(state: ReconcilerState, engine: str, call_id: int) -> bool:
    view = state.engines.get(engine)
    call = None if view is None else view.call
    return call is not None and call.call_id == call_id


def _with_lease(
    state: ReconcilerState, fencing_number: int | None, now_ms: int
) -> ReconcilerState:
    """Applies a change of the lease, discarding all observations.

    Args:
        state: The state before the change.
        fencing_number: The acquired lease's number; None if it was lost.
        now_ms: Monotonic time.
    """
    return dataclasses.replace(
        state,
        fencing_number=fencing_number,
        engines={
            name: EngineView(next_read_ms=now_ms) for name in state.targets
        },
        budget=LoadBudget(
            interval_ms=state.settings.load_interval_ms,
            burst=state.settings.load_burst,
            updated_ms=now_ms,
        ),
    )


def _with_targets(
    state: ReconcilerState, targets: Mapping[str, EngineTarget], now_ms: int
) -> ReconcilerState:
    engines = {}
    for name, target in targets.items():
        view = state.engines.get(name, EngineView(next_read_ms=now_ms))
        if target != state.targets.get(name):
            view = _with_new_target(view, target, now_ms)
        engines[name] = view
    return dataclasses.replace(state, targets=targets, engines=engines)


def _with_new_target(
    view: EngineView, target: EngineTarget, now_ms: int
) -> EngineView:
    still_unwanted = {
        version: since_ms
        for version, since_ms in view.unwanted_since_ms.items()
        if version not in target.versions and version not in target.tolerated
    }
    return dataclasses.replace(
        view, unwanted_since_ms=still_unwanted, failures=0, next_read_ms=now_ms
    )


def _read_due_engines(state: ReconcilerState, now_ms: int) -> Step:
    """Starts a read of every engine whose next read is due."""
    if state.fencing_number is None:
        return state, ()
    engines = dict(state.engines)
    actions: list[Action] = []
    call_id = state.last_call_id
    for name, view in state.engines.items():
        if view.call is None and now_ms >= view.next_read_ms:
            call_id += 1
            call = PendingCall(call_id=call_id, sent_ms=now_ms)
            engines[name] = dataclasses.replace(view, call=call)
            upstream = state.targets[name].upstream
            actions.append(ReadStatus(upstream=upstream, call_id=call_id))
    if not actions:
        return state, ()
    state = dataclasses.replace(state, engines=engines, last_call_id=call_id)
    return state, tuple(actions)


def _time_out_calls(state: ReconcilerState, now_ms: int) -> ReconcilerState:
    """Fails the calls without a response within ``call_timeout_ms``."""
    oldest_ms = now_ms - state.settings.call_timeout_ms
    for name, view in state.engines.items():
        if view.call is not None and view.call.sent_ms <= oldest_ms:
            timed_out = CallFailed(
                engine=name, call_id=view.call.call_id, error=_TIMED_OUT
            )
            state = _on_call_failed(state, timed_out, now_ms)
    return state


def _on_status_read(
    state: ReconcilerState, name: str, status: EngineStatus, now_ms: int
) -> Step:
    fencing_number = state.fencing_number
    if fencing_number is None:
        return state, ()
    view = state.engines[name]
    call = view.call
    if call is not None and status.fencing_number > fencing_number:
        stale_error = StaleFencingError(
            detail="the status has a higher fencing number",
            highest_number=status.fencing_number,
        )
        failure = CallFailed(
            engine=name, call_id=call.call_id, error=stale_error
        )
        return _on_call_failed(state, failure, now_ms), ()
    age_ms = 0 if call is None else now_ms - call.sent_ms
    target = state.targets[name]
    view = view.with_status(status, now_ms)
    present = status.present if view.status is None else view.status.present
    view = dataclasses.replace(
        view,
        unwanted_since_ms=update_unwanted_since(
            present=present,
            wanted=target.tolerated.union(target.versions),
            previous=view.unwanted_since_ms,
            now_ms=now_ms,
        ),
    )
    state = state.with_engine(name, view).with_budget(now_ms)
    if age_ms > state.settings.max_status_age_ms:
        return state.with_next_read(
            name, now_ms + state.settings.retry_interval_ms
        ), ()
    plan = next_plan(
        status=view.status or status,
        wanted=target.versions,
        tolerated=target.tolerated,
        unwanted_since_ms=view.unwanted_since_ms,
        may_load=state.may_load,
        unload_before_ms=now_ms - state.settings.unload_after_ms,
    )
    return _execute_plan(state, name, plan, fencing_number, now_ms)


def _execute_plan(
    state: ReconcilerState,
    name: str,
    plan: Plan,
    fencing_number: int,
    now_ms: int,
) -> Step:
    view = state.engines[name]
    status = view.status
    if plan.is_deferred:
        state = state.with_counts(deferred_loads=1)
    if status is None or plan.versions == status.present:
        interval_ms = state.poll_interval_ms(name)
        if plan.is_deferred:
            interval_ms = min(interval_ms, state.settings.load_interval_ms)
        else:
            view = dataclasses.replace(view, failures=0)
            state = state.with_engine(name, view)
        return state.with_next_read(name, now_ms + interval_ms), ()
    call = PendingCall(
        call_id=state.last_call_id + 1,
        sent_ms=now_ms,
        is_order=True,
        loads=_planned_loads(plan),
    )
    view = dataclasses.replace(view, call=call)
    state = state.with_engine(name, view).with_counts(
        orders=1,
        loads=len(_planned_loads(plan)),
        unloads=len(status.present - plan.versions),
    )
    budget = (
        state.budget if plan.load is None else state.budget.with_token_taken()
    )
    state = dataclasses.replace(state, budget=budget, last_call_id=call.call_id)
    order = EngineOrder(
        versions=plan.versions,
        observed_versions=status.present,
        fencing_number=fencing_number,
    )
    action = SendOrder(
        upstream=state.targets[name].upstream,
        call_id=call.call_id,
        order=order,
    )
    return state, (action,)


def _planned_loads(plan: Plan) -> frozenset[VersionRef]:
    return frozenset() if plan.load is None else frozenset({plan.load})


def _on_call_failed(
    state: ReconcilerState, event: CallFailed, now_ms: int
) -> ReconcilerState:
    """Records a failed call; the next read follows after a backoff."""
    view = state.engines[event.engine]
    has_no_effect = not isinstance(event.error, OrderOutcomeUnknownError)
    if has_no_effect and view.call is not None and view.call.loads:
        budget = state.budget.with_token_returned()
        state = dataclasses.replace(state, budget=budget)
    retry_ms = min(
        state.settings.retry_interval_ms << view.failures,
        state.settings.max_retry_interval_ms,
    )
    view = dataclasses.replace(
        view,
        call=None,
        failures=min(view.failures + 1, _MAX_DOUBLINGS),
        last_failure=FailedCall(error=event.error, at_ms=now_ms),
        next_read_ms=now_ms + retry_ms,
    )
    state = state.with_engine(event.engine, view)
    match event.error:
        case StaleFencingError():
            return state.with_counts(stale_numbers=1)
        case OrderRejectedError():
            return state.with_counts(rejections=1)
        case _:
            return state.with_counts(failures=1)
