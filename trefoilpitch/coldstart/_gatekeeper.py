"""The gatekeeper's side of the cold start protocol, as a state machine."""

from __future__ import annotations

import dataclasses

from trefoilpitch.coldstart._credits import OutstandingCredit
from trefoilpitch.coldstart._events import (
    FleetObserved,
    GatekeeperEvent,
    HandoverArrived,
    HolderSpoke,
    SendFromGatekeeper,
    UpstreamReported,
    UpstreamsChanged,
)
from trefoilpitch.coldstart._gatekeeper_state import (
    GatekeeperOutcome,
    GatekeeperState,
    is_acting,
    with_ledger,
)
from trefoilpitch.coldstart._handover import hear_handover
from trefoilpitch.coldstart._ledger import (
    available_credits,
    give_back,
    is_warm,
    pass_time,
    settle,
    turn_cold,
)
from trefoilpitch.coldstart._messages import (
    UNKNOWN_INCARNATION,
    ColdNotice,
    ColdSign,
    CreditGrant,
    CreditRef,
    CreditRefusal,
    CreditRequest,
    CreditReturn,
    Holding,
    WarmNotice,
)
from trefoilpitch.coldstart._tenure import (
    change_upstreams,
    note_report,
    observe_fleet,
)


def step_gatekeeper(
    state: GatekeeperState, event: GatekeeperEvent, now_ms: int
) -> GatekeeperOutcome:
    """Applies one event.

    Args:
        state: The state before; not modified.
        event: What happened.
        now_ms: Monotonic time, as in the views.

    Returns:
        The state after, and the messages to send.
    """
    match event:
        case FleetObserved(view=view):
            return observe_fleet(state, view, now_ms)
        case UpstreamsChanged(upstreams=upstreams):
            return change_upstreams(state, upstreams, now_ms)
        case UpstreamReported():
            return note_report(state, event, now_ms), ()
        case HolderSpoke():
            return _hear_holder(state, event, now_ms)
        case HandoverArrived():
            return hear_handover(state, event, now_ms)


def _hear_holder(
    state: GatekeeperState, event: HolderSpoke, now_ms: int
) -> GatekeeperOutcome:
    name = event.message.upstream
    upstream = state.upstreams.get(name)
    ledger = state.ledgers.get(name)
    if upstream is None or ledger is None:
        return _refuse(state, event)
    ledger = pass_time(ledger, now_ms, state.settings)
    state = with_ledger(state, name, ledger)
    match event.message:
        case CreditRequest():
            if not is_acting(state, name, now_ms):
                return _refuse(state, event)
            return _answer(state, event, event.message, now_ms)
        case CreditReturn(credit=credit, is_success=is_success):
            ledger = give_back(
                ledger,
                ref=credit,
                holder=event.holder,
                is_success=is_success,
            )
            return with_ledger(state, name, ledger), ()
        case Holding() as holding:
            ledger = settle(
                ledger,
                holder=event.holder,
                holding=holding,
                release_ms=now_ms + state.settings.release_ms,
            )
            return with_ledger(state, name, ledger), ()
        case ColdSign(upstream_incarnation=incarnation):
            return _hear_cold_sign(state, name, incarnation, now_ms)


def _refuse(state: GatekeeperState, event: HolderSpoke) -> GatekeeperOutcome:
    if not isinstance(event.message, CreditRequest):
        return state, ()
    request = event.message
    refusal = CreditRefusal(request.upstream, request.sequence)
    return state, (SendFromGatekeeper(event.address, refusal),)


def _answer(
    state: GatekeeperState,
    event: HolderSpoke,
    request: CreditRequest,
    now_ms: int,
) -> GatekeeperOutcome:
    upstream = state.upstreams[request.upstream]
    ledger = state.ledgers[request.upstream]
    if is_warm(ledger, upstream):
        return _tell_warm(state, event, request)
    available = available_credits(ledger, upstream)
    if available == 0 or request.count < 1:
        return _refuse(state, event)
    # Leaves some for other holders, who may ask a moment later.
    count = min(request.count, (available + 1) // 2)
    first = state.next_number
    credit = OutstandingCredit(
        holder=event.holder,
        sequence=request.sequence,
        upstream_incarnation=ledger.incarnation,
        release_ms=now_ms + state.settings.release_ms,
    )
    refs = tuple(
        CreditRef(state.incarnation, number)
        for number in range(first, first + count)
    )
    outstanding = dict(ledger.outstanding)
    outstanding.update(dict.fromkeys(refs, credit))
    ledger = dataclasses.replace(ledger, outstanding=outstanding)
    state = with_ledger(state, request.upstream, ledger)
    state = dataclasses.replace(state, next_number=first + count)
    grant = CreditGrant(
        upstream=request.upstream,
        sequence=request.sequence,
        upstream_incarnation=ledger.incarnation,
        credits=refs,
        validity_ms=state.settings.validity_ms,
    )
    return state, (SendFromGatekeeper(event.address, grant),)


def _tell_warm(
    state: GatekeeperState, event: HolderSpoke, request: CreditRequest
) -> GatekeeperOutcome:
    ledger = state.ledgers[request.upstream]
    ledger = dataclasses.replace(
        ledger, warm_holders=ledger.warm_holders | {event.address}
    )
    notice = WarmNotice(request.upstream, request.sequence, ledger.incarnation)
    state = with_ledger(state, request.upstream, ledger)
    return state, (SendFromGatekeeper(event.address, notice),)


def _hear_cold_sign(
    state: GatekeeperState, name: str, incarnation: str, now_ms: int
) -> GatekeeperOutcome:
    ledger = state.ledgers[name]
    is_current = incarnation in (UNKNOWN_INCARNATION, ledger.incarnation)
    # While work is being counted, further signs tell nothing new.
    if ledger.inherited is None or not is_current:
        return state, ()
    notice = ColdNotice(name, ledger.incarnation)
    sends = tuple(
        SendFromGatekeeper(address, notice)
        for address in sorted(ledger.warm_holders)
    )
    ledger = turn_cold(ledger, now_ms, state.settings)
    return with_ledger(state, name, ledger), sends
