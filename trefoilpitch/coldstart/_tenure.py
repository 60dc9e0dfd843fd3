"""Begins and ends a daemon's tenures, and applies upstreams' reports."""

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
    apply_report,
    begin_tenure,
    end_tenure,
    end_tenure_for_handover,
    release_expired,
)
from trefoilpitch.coldstart._messages import HandoverRequest
from trefoilpitch.coldstart._rendezvous import Roster, create_roster
from trefoilpitch.membership import MembershipView


def observe_fleet(
    state: GatekeeperState, view: MembershipView, now_ms: int
) -> GatekeeperOutcome:
    """Begins and ends tenures according to a new view."""
    before = state.roster
    roster = create_roster(view, state.settings)
    state = dataclasses.replace(state, roster=roster)
    if not _is_continuous(state, before, roster):
        state = _end_tenures(state)
    if not _is_usable(state, roster, now_ms):
        return _end_tenures(state), ()
    assigned = state.assigned
    if (
        assigned is None
        or before is None
        or before.signature != roster.signature
    ):
        assigned = _choose_assigned(state, roster)
    state = _update_tenures(state, roster, assigned, now_ms)
    return state, _request_handovers(state, roster, assigned, now_ms)


def change_upstreams(
    state: GatekeeperState, upstreams: Iterable[Upstream], now_ms: int
) -> GatekeeperOutcome:
    """Applies a change of the bundle's upstreams."""
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
    assigned = _choose_assigned(state, roster)
    return _update_tenures(state, roster, assigned, now_ms), ()


def record_report(
    state: GatekeeperState, event: UpstreamReported, now_ms: int
) -> GatekeeperState:
    """Applies an upstream's load report."""
    if event.upstream not in state.upstreams:
        return state
    ledger = state.ledgers.get(event.upstream, Ledger())
    ledger = release_expired(ledger, now_ms, state.settings)
    ledger = apply_report(
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
    """Tells whether no other gatekeeper can have acted between two views."""
    if before is None:
        return False
    gap_ms = after.view.as_of_ms - before.view.as_of_ms
    return gap_ms <= state.settings.view_age_limit_ms


def _is_usable(state: GatekeeperState, roster: Roster, now_ms: int) -> bool:
    view = roster.view
    age_ms = now_ms - view.as_of_ms
    return view.is_settled and age_ms <= state.settings.view_age_limit_ms


def _end_tenures(state: GatekeeperState) -> GatekeeperState:
    """Ends every tenure without keeping its state for a handover.

    The view doesn't show a successor to which it could be handed over.
    """
    ledgers = {
        name: end_tenure(ledger) for name, ledger in state.ledgers.items()
    }
    return dataclasses.replace(state, ledgers=ledgers, assigned=None)


def _choose_assigned(state: GatekeeperState, roster: Roster) -> frozenset[str]:
    return frozenset(
        name
        for name, upstream in state.upstreams.items()
        if roster.is_owner_gatekeeper(upstream)
    )


def _update_tenures(
    state: GatekeeperState,
    roster: Roster,
    assigned: frozenset[str],
    now_ms: int,
) -> GatekeeperState:
    ledgers = dict(state.ledgers)
    for name, ledger in state.ledgers.items():
        if ledger.tenure_ms is None or name in assigned:
            continue
        # Without a quorum, another gatekeeper may be acting already.
        if roster.scope_of(state.upstreams[name]).has_quorum:
            ledgers[name] = end_tenure_for_handover(ledger, now_ms)
        else:
            ledgers[name] = end_tenure(ledger)
    for name in assigned:
        ledger = ledgers.get(name, Ledger())
        if ledger.tenure_ms is None:
            ledger = begin_tenure(ledger, now_ms, state.settings)
        ledgers[name] = release_expired(ledger, now_ms, state.settings)
    return dataclasses.replace(state, ledgers=ledgers, assigned=assigned)


def _request_handovers(
    state: GatekeeperState,
    roster: Roster,
    assigned: frozenset[str],
    now_ms: int,
) -> tuple[SendFromGatekeeper, ...]:
    sends: list[SendFromGatekeeper] = []
    for name in sorted(assigned):
        ledger = state.ledgers[name]
        if ledger.tenure_ms is None or ledger.untracked is not None:
            continue
        predecessor = roster.predecessor_of(state.upstreams[name])
        if predecessor is None or now_ms >= ledger.latest_untracked_start_ms:
            continue
        request = HandoverRequest(name, ledger.tenure_ms, now_ms)
        address = predecessor.endpoints.peer_address
        sends.append(SendFromGatekeeper(address, request))
    return tuple(sends)
