"""Brings engines to the versions that the configuration wants.

Each order is decided from a status read just before it and names the whole set
of versions, and every order is followed by another read. An order that is lost,
repeated or late, or one of an earlier holder at an engine that ignores fencing
numbers, so shows up as a difference and is put right.
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
    OrderAccepted,
    ReadStatus,
    SendOrder,
    StatusRead,
    TermBegan,
    TermEnded,
    Tick,
)
from trefoilpitch.orders._exceptions import (
    OrderOutcomeUnknownError,
    OrderRejectedError,
    StaleFencingError,
)
from trefoilpitch.orders._load_budget import LoadBudget
from trefoilpitch.orders._plan import Plan, next_plan, unwanted_since
from trefoilpitch.orders._state import (
    Call,
    EngineView,
    Failed,
    ReconcilerState,
)
from trefoilpitch.orders._types import EngineOrder, EngineStatus

Step = tuple[ReconcilerState, tuple[Action, ...]]
_MAX_DOUBLINGS = 16
_LOST = OrderOutcomeUnknownError(detail="no reply in time")


def step(state: ReconcilerState, event: Event, now_ms: int) -> Step:
    """Takes one event into account.

    Args:
        state: The state before.
        event: What happened; replies to calls no longer awaited are ignored.
        now_ms: Monotonic time of the event.

    Returns:
        The state after, and calls to make now, at most one an engine.
    """
    match event:
        case Tick():
            return _poll(_without_lost_calls(state, now_ms), now_ms)
        case ConfigurationChanged(configuration=configuration):
            targets = desired_targets(configuration, state.scope)
            return _poll(_retargeted(state, targets, now_ms), now_ms)
        case TermBegan(fencing_number=number):
            return _poll(_in_term(state, number, now_ms), now_ms)
        case TermEnded():
            state = _in_term(state, None, now_ms)
        case StatusRead() if _awaits(state, event.engine, event.call_id):
            return _after_status(state, event.engine, event.status, now_ms)
        case OrderAccepted() if _awaits(state, event.engine, event.call_id):
            state = _after_order(state, event.engine, now_ms)
        case CallFailed() if _awaits(state, event.engine, event.call_id):
            state = _after_failure(state, event, now_ms)
        case _:
            pass
    return state, ()


def _after_order(
    state: ReconcilerState, name: str, now_ms: int
) -> ReconcilerState:
    """Has an accepted order confirmed by another read."""
    view = state.engines[name]
    loads = frozenset() if view.call is None else view.call.loads
    failed_ms = now_ms + state.terms.load_timeout_ms
    view = dataclasses.replace(
        view,
        call=None,
        unconfirmed_loads={
            **view.unconfirmed_loads,
            **dict.fromkeys(loads, failed_ms),
        },
        due_ms=now_ms + state.terms.confirm_interval_ms,
    )
    return state.with_engine(name, view)


def _awaits(state: ReconcilerState, engine: str, call_id: int) -> bool:
    view = state.engines.get(engine)
    call = None if view is None else view.call
    return call is not None and call.call_id == call_id


def _in_term(
    state: ReconcilerState, fencing_number: int | None, now_ms: int
) -> ReconcilerState:
    """Begins or ends a term; nothing known before it counts any more."""
    return dataclasses.replace(
        state,
        fencing_number=fencing_number,
        engines={name: EngineView(due_ms=now_ms) for name in state.targets},
        budget=LoadBudget(
            interval_ms=state.terms.load_interval_ms,
            burst=state.terms.load_burst,
            updated_ms=now_ms,
        ),
    )


def _retargeted(
    state: ReconcilerState, targets: Mapping[str, EngineTarget], now_ms: int
) -> ReconcilerState:
    engines = {}
    for name, target in targets.items():
        view = state.engines.get(name, EngineView(due_ms=now_ms))
        if target != state.targets.get(name):
            view = _reconsidered(view, target, now_ms)
        engines[name] = view
    return dataclasses.replace(state, targets=targets, engines=engines)


def _reconsidered(
    view: EngineView, target: EngineTarget, now_ms: int
) -> EngineView:
    still_unwanted = {
        version: since_ms
        for version, since_ms in view.unwanted_since_ms.items()
        if version not in target.versions and version not in target.tolerated
    }
    return dataclasses.replace(
        view, unwanted_since_ms=still_unwanted, failures=0, due_ms=now_ms
    )


def _poll(state: ReconcilerState, now_ms: int) -> Step:
    """Reads every engine that is due."""
    if state.fencing_number is None:
        return state, ()
    engines = dict(state.engines)
    actions: list[Action] = []
    call_id = state.last_call_id
    for name, view in state.engines.items():
        if view.call is None and now_ms >= view.due_ms:
            call_id += 1
            call = Call(call_id=call_id, sent_ms=now_ms)
            engines[name] = dataclasses.replace(view, call=call)
            upstream = state.targets[name].upstream
            actions.append(ReadStatus(upstream=upstream, call_id=call_id))
    if not actions:
        return state, ()
    state = dataclasses.replace(state, engines=engines, last_call_id=call_id)
    return state, tuple(actions)


def _without_lost_calls(state: ReconcilerState, now_ms: int) -> ReconcilerState:
    """Gives up on calls without a reply."""
    oldest_ms = now_ms - state.terms.call_timeout_ms
    for name, view in state.engines.items():
        if view.call is not None and view.call.sent_ms <= oldest_ms:
            lost = CallFailed(
                engine=name, call_id=view.call.call_id, error=_LOST
            )
            state = _after_failure(state, lost, now_ms)
    return state


def _after_status(
    state: ReconcilerState, name: str, status: EngineStatus, now_ms: int
) -> Step:
    number = state.fencing_number
    if number is None:
        return state, ()
    view = state.engines[name]
    call = view.call
    if call is not None and status.fencing_number > number:
        stale = StaleFencingError(
            detail="the status shows a higher number",
            highest_number=status.fencing_number,
        )
        failure = CallFailed(engine=name, call_id=call.call_id, error=stale)
        return _after_failure(state, failure, now_ms), ()
    age_ms = 0 if call is None else now_ms - call.sent_ms
    target = state.targets[name]
    view = view.with_status(status, now_ms)
    present = status.present if view.status is None else view.status.present
    view = dataclasses.replace(
        view,
        unwanted_since_ms=unwanted_since(
            present=present,
            wanted=target.tolerated.union(target.versions),
            before=view.unwanted_since_ms,
            now_ms=now_ms,
        ),
    )
    state = state.with_engine(name, view).with_budget(now_ms)
    if age_ms > state.terms.max_status_age_ms:
        return state.with_due(name, now_ms + state.terms.retry_interval_ms), ()
    plan = next_plan(
        status=view.status or status,
        wanted=target.versions,
        tolerated=target.tolerated,
        unwanted_since_ms=view.unwanted_since_ms,
        may_load=state.may_load,
        unload_before_ms=now_ms - state.terms.unload_after_ms,
    )
    return _carry_out(state, name, plan, number, now_ms)


def _carry_out(
    state: ReconcilerState, name: str, plan: Plan, number: int, now_ms: int
) -> Step:
    view = state.engines[name]
    status = view.status
    if plan.is_deferred:
        state = state.counting(deferred_loads=1)
    if status is None or plan.versions == status.present:
        interval_ms = state.poll_interval_ms(name)
        if plan.is_deferred:
            interval_ms = min(interval_ms, state.terms.load_interval_ms)
        else:
            view = dataclasses.replace(view, failures=0)
            state = state.with_engine(name, view)
        return state.with_due(name, now_ms + interval_ms), ()
    call = Call(
        call_id=state.last_call_id + 1,
        sent_ms=now_ms,
        is_order=True,
        loads=_loads(plan),
    )
    view = dataclasses.replace(view, call=call)
    state = state.with_engine(name, view).counting(
        orders=1,
        loads=len(_loads(plan)),
        unloads=len(status.present - plan.versions),
    )
    budget = state.budget if plan.load is None else state.budget.taken()
    state = dataclasses.replace(state, budget=budget, last_call_id=call.call_id)
    order = EngineOrder(
        versions=plan.versions, seen=status.present, fencing_number=number
    )
    action = SendOrder(
        upstream=state.targets[name].upstream,
        call_id=call.call_id,
        order=order,
    )
    return state, (action,)


def _loads(plan: Plan) -> frozenset[VersionRef]:
    return frozenset() if plan.load is None else frozenset({plan.load})


def _after_failure(
    state: ReconcilerState, event: CallFailed, now_ms: int
) -> ReconcilerState:
    """Puts the next read off, for longer with each failure in a row."""
    view = state.engines[event.engine]
    has_no_effect = not isinstance(event.error, OrderOutcomeUnknownError)
    if has_no_effect and view.call is not None and view.call.loads:
        budget = state.budget.given_back()
        state = dataclasses.replace(state, budget=budget)
    retry_ms = min(
        state.terms.retry_interval_ms << view.failures,
        state.terms.max_retry_interval_ms,
    )
    view = dataclasses.replace(
        view,
        call=None,
        failures=min(view.failures + 1, _MAX_DOUBLINGS),
        last_failure=Failed(error=event.error, at_ms=now_ms),
        due_ms=now_ms + retry_ms,
    )
    state = state.with_engine(event.engine, view)
    match event.error:
        case StaleFencingError():
            return state.counting(stale_numbers=1)
        case OrderRejectedError():
            return state.counting(rejections=1)
        case _:
            return state.counting(failures=1)
