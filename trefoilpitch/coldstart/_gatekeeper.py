"""The gatekeeper's state machine of the cold start protocol."""

from __future__ import annotations

import dataclasses

from trefoilpitch.coldstart._credits import OutstandingCredit
from trefoilpitch.coldstart._events import (
    FleetObserved,
    GatekeeperEvent,
    HandoverMessageReceived,
    HolderMessageReceived,
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
from trefoilpitch.coldstart._handover import handle_handover
from trefoilpitch.coldstart._ledger import (
    available_credits,
    is_warm,
    release_expired,
    release_unheld,
    restart_ramp,
    return_credit,
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
    HeldCredits,
    WarmNotice,
)
from trefoilpitch.coldstart._tenure import (
    change_upstreams,
    observe_fleet,
    record_report,
)


def step_gatekeeper(
    state: GatekeeperState, event: GatekeeperEvent, now_ms: int
) -> GatekeeperOutcome:
    """Applies one event.

    Args:
        state: The current state; not modified.
        event: What happened.
        now_ms: Monotonic time, on the same clock as the views' ``as_of_ms``.

    Returns:
        The new state, and the messages to send.
    """
    match event:
        case FleetObserved(view=view):
            return observe_fleet(state, view, now_ms)
        case UpstreamsChanged(upstreams=upstreams):
            return change_upstreams(state, upstreams, now_ms)
        case UpstreamReported():
            return record_report(state, event, now_ms), ()
        case HolderMessageReceived():
            return _handle_holder_message(state, event, now_ms)
        case HandoverMessageReceived():
            return handle_handover(state, event, now_ms)


def _handle_holder_message(
    state: GatekeeperState, event: HolderMessageReceived, now_ms: int
) -> GatekeeperOutcome:
    name = event.message.upstream
    upstream = state.upstreams.get(name)
    ledger = state.ledgers.get(name)
    if upstream is None or ledger is None:
        return _refuse(state, event)
    ledger = release_expired(ledger, now_ms, state.settings)
    state = with_ledger(state, name, ledger)
    match event.message:
        case CreditRequest():
            if not is_acting(state, name, now_ms):
                return _refuse(state, event)
            return _handle_credit_request(state, event, event.message, now_ms)
        case CreditReturn(credit=credit, is_success=is_success):
            ledger = return_credit(
                ledger,
                ref=credit,
                holder=event.holder,
                is_success=is_success,
            )
            return with_ledger(state, name, ledger), ()
        case HeldCredits() as held_credits:
            ledger = release_unheld(
                ledger,
                holder=event.holder,
                held_credits=held_credits,
                release_ms=now_ms + state.settings.release_ms,
            )
            return with_ledger(state, name, ledger), ()
        case ColdSign(upstream_incarnation=incarnation):
            return _handle_cold_sign(state, name, incarnation, now_ms)


def _refuse(
    state: GatekeeperState, event: HolderMessageReceived
) -> GatekeeperOutcome:
    if not isinstance(event.message, CreditRequest):
        return state, ()
    request = event.message
    refusal = CreditRefusal(request.upstream, request.sequence)
    return state, (SendFromGatekeeper(event.address, refusal),)


def _handle_credit_request(
    state: GatekeeperState,
    event: HolderMessageReceived,
    request: CreditRequest,
    now_ms: int,
) -> GatekeeperOutcome:
    upstream = state.upstreams[request.upstream]
    ledger = state.ledgers[request.upstream]
    if is_warm(ledger, upstream):
        return _notify_warm(state, event, request)
    available = available_credits(ledger, upstream)
    if available == 0 or request.count < 1:
        return _refuse(state, event)
    # Leaves about half for other holders, whose requests may arrive shortly.
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


def _notify_warm(
    state: GatekeeperState, event: HolderMessageReceived, request: CreditRequest
) -> GatekeeperOutcome:
    ledger = state.ledgers[request.upstream]
    ledger = dataclasses.replace(
        ledger, notified_addresses=ledger.notified_addresses | {event.address}
    )
    notice = WarmNotice(request.upstream, request.sequence, ledger.incarnation)
    state = with_ledger(state, request.upstream, ledger)
    return state, (SendFromGatekeeper(event.address, notice),)


def _handle_cold_sign(
    state: GatekeeperState, name: str, incarnation: str, now_ms: int
) -> GatekeeperOutcome:
    ledger = state.ledgers[name]
    is_current = incarnation in (UNKNOWN_INCARNATION, ledger.incarnation)
    # While the running work is still being counted, no credits are granted and
    # the ramp is already at its start.
    if ledger.untracked is None or not is_current:
        return state, ()
    notice = ColdNotice(name, ledger.incarnation)
    sends = tuple(
        SendFromGatekeeper(address, notice)
        for address in sorted(ledger.notified_addresses)
    )
    ledger = restart_ramp(ledger, now_ms, state.settings)
    return with_ledger(state, name, ledger), sends
