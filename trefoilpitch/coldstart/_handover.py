"""Hands an upstream's books from one gatekeeper to the next."""

from __future__ import annotations

import dataclasses

from trefoilpitch.coldstart._credits import Parting
from trefoilpitch.coldstart._events import (
    HandoverArrived,
    SendFromGatekeeper,
)
from trefoilpitch.coldstart._gatekeeper_state import (
    GatekeeperOutcome,
    GatekeeperState,
    is_acting,
    with_ledger,
)
from trefoilpitch.coldstart._ledger import take_over
from trefoilpitch.coldstart._messages import Handover, HandoverRequest


def hear_handover(
    state: GatekeeperState, event: HandoverArrived, now_ms: int
) -> GatekeeperOutcome:
    """Answers a request for books, or takes them over."""
    match event.message:
        case HandoverRequest() as request:
            return _hand_over(state, event, request, now_ms)
        case Handover() as handover:
            return _take_over(state, handover, now_ms), ()


def _hand_over(
    state: GatekeeperState,
    event: HandoverArrived,
    request: HandoverRequest,
    now_ms: int,
) -> GatekeeperOutcome:
    ledger = state.ledgers.get(request.upstream)
    if ledger is None or ledger.parting is None:
        return state, ()
    parting = ledger.parting
    # Later, yet another gatekeeper may have come and gone.
    if now_ms - parting.parted_ms >= state.settings.handover_ms:
        return state, ()
    heir = (event.incarnation, request.tenure_ms)
    if parting.heir not in (None, heir):
        return state, ()
    parting = dataclasses.replace(parting, heir=heir)
    ledger = dataclasses.replace(ledger, parting=parting)
    handover = Handover(
        upstream=request.upstream,
        tenure_ms=request.tenure_ms,
        asked_ms=request.asked_ms,
        credits=parting.credits,
        inherited=parting.inherited,
        upstream_incarnation=parting.incarnation,
        successes=parting.successes,
    )
    state = with_ledger(state, request.upstream, ledger)
    return state, (SendFromGatekeeper(event.address, handover),)


def _take_over(
    state: GatekeeperState, handover: Handover, now_ms: int
) -> GatekeeperState:
    name = handover.upstream
    ledger = state.ledgers.get(name)
    if ledger is None or ledger.inherited is not None:
        return state
    if ledger.tenure_ms != handover.tenure_ms:
        return state
    if now_ms - handover.asked_ms >= state.settings.handover_ms:
        return state
    if not is_acting(state, name, now_ms):
        return state
    ledger = take_over(
        ledger,
        handed=Parting(
            parted_ms=now_ms,
            credits=handover.credits,
            inherited=handover.inherited,
            incarnation=handover.upstream_incarnation,
            successes=handover.successes,
        ),
        now_ms=now_ms,
        settings=state.settings,
    )
    return with_ledger(state, name, ledger)
