"""When a daemon is a gatekeeper, and what it hears of upstreams."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from trefoilpitch.bundle import Upstream
from trefoilpitch.coldstart._events import (
    SendFromGatekeeper,
    UpstreamReported,
)
from trefoilpitch.coldstart._gatekeeper_state import (
    GatekeeperOutcome,
    GatekeeperState,
    with_ledger,
)
from trefoilpitch.coldstart._ledger import (
    Ledger,
    begin_tenure,
    end_tenure,
    part,
    pass_time,
    take_report,
)
from trefoilpitch.coldstart._messages import HandoverRequest
from trefoilpitch.coldstart._rendezvous import Roster, create_roster
from trefoilpitch.membership import MembershipView


def observe_fleet(
    state: GatekeeperState, view: MembershipView, now_ms: int
) -> GatekeeperOutcome:
    """Begins and ends tenures as the view demands."""
    before = state.roster
    roster = create_roster(view, state.settings)
    state = dataclasses.replace(state, roster=roster)
    if not _is_continuous(state, before, roster):
        state = _end_tenures(state)
    if not _is_usable(state, roster, now_ms):
        return _end_tenures(state), ()
    guarded = state.guarded
    if (
        guarded is None
        or before is None
        or before.signature != roster.signature
    ):
        guarded = _choose_guarded(state, roster)
    state = _update_tenures(state, roster, guarded, now_ms)
    return state, _ask_predecessors(state, roster, guarded, now_ms)


def change_upstreams(
    state: GatekeeperState, upstreams: Iterable[Upstream], now_ms: int
) -> GatekeeperOutcome:
    """Takes in the bundle's upstreams."""
    by_name = {upstream.name: upstream for upstream in upstreams}
    ledgers = {
        name: ledger
        for name, ledger in state.ledgers.items()
        if name in by_name
    }
    state = dataclasses.replace(state, upstreams=by_name, ledgers=ledgers)
    roster = state.roster
    if roster is None or not _is_usable(state, roster, now_ms):
        return state, ()
    guarded = _choose_guarded(state, roster)
    return _update_tenures(state, roster, guarded, now_ms), ()


def note_report(
    state: GatekeeperState, event: UpstreamReported, now_ms: int
) -> GatekeeperState:
    """Takes in an upstream's report of its load."""
    if event.upstream not in state.upstreams:
        return state
    ledger = state.ledgers.get(event.upstream, Ledger())
    ledger = pass_time(ledger, now_ms, state.settings)
    ledger = take_report(
        ledger,
        incarnation=event.incarnation,
        running=event.running,
        reported_warm=event.reported_warm,
        as_of_ms=event.as_of_ms,
        settings=state.settings,
    )
    return with_ledger(state, event.upstream, ledger)


def _is_continuous(
    state: GatekeeperState, before: Roster | None, after: Roster
) -> bool:
    """Tells whether no gap between views hid another gatekeeper."""
    if before is None:
        return False
    gap_ms = after.view.as_of_ms - before.view.as_of_ms
    return gap_ms <= state.settings.view_age_limit_ms


def _is_usable(state: GatekeeperState, roster: Roster, now_ms: int) -> bool:
    view = roster.view
    age_ms = now_ms - view.as_of_ms
    return view.is_settled and age_ms <= state.settings.view_age_limit_ms


def _end_tenures(state: GatekeeperState) -> GatekeeperState:
    """Ends every tenure; nobody can be told what is outstanding."""
    ledgers = {
        name: end_tenure(ledger) for name, ledger in state.ledgers.items()
    }
    return dataclasses.replace(state, ledgers=ledgers, guarded=None)


def _choose_guarded(state: GatekeeperState, roster: Roster) -> frozenset[str]:
    return frozenset(
        name
        for name, upstream in state.upstreams.items()
        if roster.makes_owner_gatekeeper(upstream)
    )


def _update_tenures(
    state: GatekeeperState,
    roster: Roster,
    guarded: frozenset[str],
    now_ms: int,
) -> GatekeeperState:
    ledgers = dict(state.ledgers)
    for name, ledger in state.ledgers.items():
        if ledger.tenure_ms is None or name in guarded:
            continue
        # Without a quorum, another gatekeeper may be acting already.
        if roster.scope_of(state.upstreams[name]).has_quorum:
            ledgers[name] = part(ledger, now_ms)
        else:
            ledgers[name] = end_tenure(ledger)
    for name in guarded:
        ledger = ledgers.get(name, Ledger())
        if ledger.tenure_ms is None:
            ledger = begin_tenure(ledger, now_ms, state.settings)
        ledgers[name] = pass_time(ledger, now_ms, state.settings)
    return dataclasses.replace(state, ledgers=ledgers, guarded=guarded)


def _ask_predecessors(
    state: GatekeeperState,
    roster: Roster,
    guarded: frozenset[str],
    now_ms: int,
) -> tuple[SendFromGatekeeper, ...]:
    sends: list[SendFromGatekeeper] = []
    for name in sorted(guarded):
        ledger = state.ledgers[name]
        if ledger.tenure_ms is None or ledger.inherited is not None:
            continue
        predecessor = roster.predecessor_of(state.upstreams[name])
        if predecessor is None or now_ms >= ledger.void_ms:
            continue
        request = HandoverRequest(name, ledger.tenure_ms, now_ms)
        address = predecessor.endpoints.peer_address
        sends.append(SendFromGatekeeper(address, request))
    return tuple(sends)
