"""What a holder of credits tells the gatekeepers."""

from __future__ import annotations

import dataclasses

from trefoilpitch.coldstart._account import (
    PendingRequest,
    held_refs,
    settled_sequence,
)
from trefoilpitch.coldstart._events import HolderAction, SendToGatekeeper
from trefoilpitch.coldstart._holder_state import (
    HolderOutcome,
    HolderState,
    with_account,
)
from trefoilpitch.coldstart._messages import (
    CreditRequest,
    HolderMessage,
    Holding,
)
from trefoilpitch.coldstart._warmth import is_warm_here
from trefoilpitch.membership import Member


def ask_for_credits(
    state: HolderState, name: str, now_ms: int
) -> HolderOutcome:
    """Asks the gatekeeper if more work waits than credits are at hand."""
    account = state.accounts[name]
    missing = account.waiting - len(account.unused)
    if (
        missing <= 0
        or account.pending is not None
        or now_ms < account.retry_ms
        or is_warm_here(account.warmth, now_ms, state.settings)
    ):
        return state, ()
    gatekeeper = _gatekeeper_of(state, name)
    if gatekeeper is None:
        return state, ()
    sequence = state.next_sequence
    account = dataclasses.replace(
        account,
        pending=PendingRequest(sequence=sequence, sent_ms=now_ms),
        last_sequence=sequence,
    )
    state = dataclasses.replace(state, next_sequence=sequence + 1)
    state = with_account(state, name, account)
    count = min(missing, state.settings.max_credits)
    request = CreditRequest(name, sequence, count)
    return state, to_gatekeeper(state, name, [request])


def tell_holding(state: HolderState, name: str, now_ms: int) -> HolderOutcome:
    """Tells the gatekeeper what is still held, when that is due."""
    account = state.accounts[name]
    held = held_refs(account)
    settled = settled_sequence(account)
    is_told = not held and account.told_sequence == settled
    if is_told or now_ms < account.next_holding_ms:
        return state, ()
    account = dataclasses.replace(
        account,
        told_sequence=settled if not held else account.told_sequence,
        next_holding_ms=now_ms + state.settings.holding_interval_ms,
    )
    state = with_account(state, name, account)
    return state, to_gatekeeper(state, name, [Holding(name, settled, held)])


def to_gatekeeper(
    state: HolderState, name: str, messages: list[HolderMessage]
) -> tuple[HolderAction, ...]:
    """Addresses messages to an upstream's gatekeeper, if there is one."""
    gatekeeper = _gatekeeper_of(state, name)
    if gatekeeper is None:
        return ()
    address = gatekeeper.endpoints.peer_address
    return tuple(SendToGatekeeper(address, message) for message in messages)


def _gatekeeper_of(state: HolderState, name: str) -> Member | None:
    upstream = state.upstreams.get(name)
    if state.roster is None or upstream is None:
        return None
    return state.roster.gatekeeper_of(upstream)
