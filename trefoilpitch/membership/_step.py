"""The membership protocol as a pure state machine."""

from __future__ import annotations

import dataclasses

from trefoilpitch.membership._draft import Draft
from trefoilpitch.membership._events import (
    Departed,
    LeaveRequested,
    MembershipAction,
    MembershipEvent,
    MessageReceived,
    ReportChanged,
    SeedsChanged,
    Tick,
)
from trefoilpitch.membership._gossip import (
    receive_digest,
    receive_page,
    receive_sync_request,
    send_heartbeats,
    send_news,
    try_seed,
)
from trefoilpitch.membership._messages import (
    Digest,
    MembershipMessage,
    Probe,
    ProbeAnswer,
    ProbeRequest,
    SyncPage,
    SyncRequest,
)
from trefoilpitch.membership._monitor import (
    advance_states,
    note_pause,
    probe_silent_neighbours,
    receive_probe,
    receive_probe_answer,
    receive_probe_request,
)
from trefoilpitch.membership._nodes import MemberState
from trefoilpitch.membership._records import DEPARTED, create_report, state_of
from trefoilpitch.membership._state import MembershipState


def step(
    state: MembershipState, event: MembershipEvent, now_ms: int
) -> tuple[MembershipState, tuple[MembershipAction, ...]]:
    """Applies one event.

    Args:
        state: The state before; not modified.
        event: What happened.
        now_ms: Monotonic time.

    Returns:
        The state after, and what the owner has to do in this order.
    """
    draft = Draft(state, now_ms)
    _apply(draft, event)
    return draft.finish()


def _apply(draft: Draft, event: MembershipEvent) -> None:
    match event:
        case Tick():
            _tick(draft)
        case MessageReceived(sender=sender, address=address, message=message):
            draft.heard(sender)
            _receive(draft, sender, address, message)
        case SeedsChanged(addresses=addresses):
            draft.seeding = dataclasses.replace(
                draft.seeding, addresses=addresses
            )
        case ReportChanged():
            _change_report(draft, event)
        case LeaveRequested():
            if state_of(draft.own) is MemberState.ALIVE:
                draft.announce(MemberState.LEAVING.value)
                send_news(draft)
        case Departed():
            draft.announce(DEPARTED)
            send_news(draft)


def _tick(draft: Draft) -> None:
    note_pause(draft)
    draft.set_timers(last_tick_ms=draft.now_ms)
    if state_of(draft.own) is MemberState.GONE:
        return
    advance_states(draft)
    try_seed(draft)
    if draft.now_ms >= draft.timers.next_heartbeat_ms:
        draft.set_timers(
            next_heartbeat_ms=draft.now_ms
            + draft.settings.heartbeat_interval_ms
        )
        send_heartbeats(draft)
    elif draft.rumours:
        send_news(draft)
    probe_silent_neighbours(draft)


def _receive(
    draft: Draft, sender: str, address: str, message: MembershipMessage
) -> None:
    match message:
        case Digest():
            receive_digest(draft, sender, address, message)
        case ProbeRequest():
            receive_probe_request(draft, message)
        case Probe():
            receive_probe(draft, address, message)
        case ProbeAnswer():
            receive_probe_answer(draft, message)
        case SyncRequest():
            receive_sync_request(draft, address, message)
        case SyncPage():
            receive_page(draft, address, message)


def _change_report(draft: Draft, event: ReportChanged) -> None:
    own = draft.own
    report = create_report(
        own.name, own.incarnation, own.report.version + 1, event.report
    )
    draft.replace_own_report(report)
