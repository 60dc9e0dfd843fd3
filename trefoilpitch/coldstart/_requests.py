"""Messages of a credit holder to the gatekeepers."""

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
    HeldCredits,
    HolderMessage,
)
from trefoilpitch.coldstart._warmth import is_known_warm
from trefoilpitch.membership import Member


def request_credits(
    state: HolderState, name: str, now_ms: int
) -> HolderOutcome:
    """Requests credits if more work waits than there are unused credits."""
    account = state.accounts[name]
    missing = account.waiting - len(account.unused)
    if (
        missing <= 0
        or account.pending is not None
        or now_ms < account.retry_ms
        or is_known_warm(account.warmth, now_ms, state.settings)
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
    return state, messages_to_gatekeeper(state, name, [request])


def report_held_credits(
    state: HolderState, name: str, now_ms: int
) -> HolderOutcome:
    """Sends the gatekeeper the list of held credits when that is due."""
    account = state.accounts[name]
    held = held_refs(account)
    settled = settled_sequence(account)
    is_reported = not held and account.reported_sequence == settled
    if is_reported or now_ms < account.next_held_credits_ms:
        return state, ()
    account = dataclasses.replace(
        account,
        reported_sequence=settled if not held else account.reported_sequence,
        next_held_credits_ms=now_ms + state.settings.holding_interval_ms,
    )
    state = with_account(state, name, account)
    return state, messages_to_gatekeeper(
        state, name, [HeldCredits(name, settled, held)]
    )


def messages_to_gatekeeper(
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
