"""The membership protocol as a pure state machine."""

from __future__ import annotations

import dataclasses

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
    contact_seed,
    receive_digest,
    receive_page,
    receive_sync_request,
    send_heartbeats,
    send_updates,
)
from trefoilpitch.membership._messages import (
    Digest,
    MembershipMessage,
    Probe,
    ProbeReply,
    ProbeRequest,
    SyncPage,
    SyncRequest,
)
from trefoilpitch.membership._monitor import (
    advance_states,
    detect_pause,
    probe_silent_neighbours,
    receive_probe,
    receive_probe_reply,
    receive_probe_request,
)
from trefoilpitch.membership._nodes import MemberState
from trefoilpitch.membership._records import DEPARTED, create_report, state_of
from trefoilpitch.membership._state import MembershipState
from trefoilpitch.membership._transition import Transition


def step(
    state: MembershipState, event: MembershipEvent, now_ms: int
) -> tuple[MembershipState, tuple[MembershipAction, ...]]:
    """Applies one event.

    Args:
        state: The state before the event; not modified.
        event: The event to apply.
        now_ms: Monotonic time.

    Returns:
        The state after the event, and the actions to perform, in order.
    """
    transition = Transition(state, now_ms)
    _apply(transition, event)
    return transition.finish()


def _apply(transition: Transition, event: MembershipEvent) -> None:
    match event:
        case Tick():
            _tick(transition)
        case MessageReceived(sender=sender, address=address, message=message):
            transition.record_contact(sender)
            _receive(transition, sender, address, message)
        case SeedsChanged(addresses=addresses):
            transition.seed_state = dataclasses.replace(
                transition.seed_state, addresses=addresses
            )
        case ReportChanged():
            _change_report(transition, event)
        case LeaveRequested():
            if state_of(transition.own) is MemberState.ALIVE:
                transition.set_own_state(MemberState.LEAVING.value)
                send_updates(transition)
        case Departed():
            transition.set_own_state(DEPARTED)
            send_updates(transition)


def _tick(transition: Transition) -> None:
    detect_pause(transition)
    transition.set_timers(last_tick_ms=transition.now_ms)
    if state_of(transition.own) is MemberState.GONE:
        return
    advance_states(transition)
    contact_seed(transition)
    if transition.now_ms >= transition.timers.next_heartbeat_ms:
        transition.set_timers(
            next_heartbeat_ms=transition.now_ms
            + transition.settings.heartbeat_interval_ms
        )
        send_heartbeats(transition)
    elif transition.pending_updates:
        send_updates(transition)
    probe_silent_neighbours(transition)


def _receive(
    transition: Transition,
    sender: str,
    address: str,
    message: MembershipMessage,
) -> None:
    match message:
        case Digest():
            receive_digest(transition, sender, address, message)
        case ProbeRequest():
            receive_probe_request(transition, message)
        case Probe():
            receive_probe(transition, address, message)
        case ProbeReply():
            receive_probe_reply(transition, message)
        case SyncRequest():
            receive_sync_request(transition, address, message)
        case SyncPage():
            receive_page(transition, address, message)


def _change_report(transition: Transition, event: ReportChanged) -> None:
    own = transition.own
    report = create_report(
        own.name, own.incarnation, own.report.version + 1, event.report
    )
    transition.set_own_report(report)
