"""Hands an upstream's ledger from one gatekeeper to the next."""

from __future__ import annotations

import dataclasses

from trefoilpitch.coldstart._credits import EndedTenure
from trefoilpitch.coldstart._events import (
    HandoverMessageReceived,
    SendFromGatekeeper,
)
from trefoilpitch.coldstart._gatekeeper_state import (
    GatekeeperOutcome,
    GatekeeperState,
    is_acting,
    with_ledger,
)
from trefoilpitch.coldstart._ledger import apply_handover
from trefoilpitch.coldstart._messages import Handover, HandoverRequest


def handle_handover(
    state: GatekeeperState, event: HandoverMessageReceived, now_ms: int
) -> GatekeeperOutcome:
    """Handles a request for a handover, or the handover itself."""
    match event.message:
        case HandoverRequest() as request:
            return _send_handover(state, event, request, now_ms)
        case Handover() as handover:
            return _accept_handover(state, handover, now_ms), ()


def _send_handover(
    state: GatekeeperState,
    event: HandoverMessageReceived,
    request: HandoverRequest,
    now_ms: int,
) -> GatekeeperOutcome:
    ledger = state.ledgers.get(request.upstream)
    if ledger is None or ledger.ended_tenure is None:
        return state, ()
    ended_tenure = ledger.ended_tenure
    # After this time, yet another gatekeeper may have granted credits.
    if now_ms - ended_tenure.ended_ms >= state.settings.handover_ms:
        return state, ()
    successor = (event.incarnation, request.tenure_ms)
    if ended_tenure.successor not in (None, successor):
        return state, ()
    ended_tenure = dataclasses.replace(ended_tenure, successor=successor)
    ledger = dataclasses.replace(ledger, ended_tenure=ended_tenure)
    handover = Handover(
        upstream=request.upstream,
        tenure_ms=request.tenure_ms,
        asked_ms=request.asked_ms,
        credits=ended_tenure.credits,
        inherited=ended_tenure.untracked,
        upstream_incarnation=ended_tenure.incarnation,
        successes=ended_tenure.successes,
    )
    state = with_ledger(state, request.upstream, ledger)
    return state, (SendFromGatekeeper(event.address, handover),)


def _accept_handover(
    state: GatekeeperState, handover: Handover, now_ms: int
) -> GatekeeperState:
    name = handover.upstream
    ledger = state.ledgers.get(name)
    if ledger is None or ledger.untracked is not None:
        return state
    if ledger.tenure_ms != handover.tenure_ms:
        return state
    if now_ms - handover.asked_ms >= state.settings.handover_ms:
        return state
    if not is_acting(state, name, now_ms):
        return state
    ledger = apply_handover(
        ledger,
        previous=EndedTenure(
            ended_ms=now_ms,
            credits=handover.credits,
            untracked=handover.inherited,
            incarnation=handover.upstream_incarnation,
            successes=handover.successes,
        ),
        now_ms=now_ms,
        settings=state.settings,
    )
    return with_ledger(state, name, ledger)
