"""The gatekeeper's side of the cold start protocol, as a state machine."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping

from trefoilpitch.bundle import Upstream
from trefoilpitch.coldstart._events import (
    FleetObserved,
    GatekeeperEvent,
    HolderSpoke,
    SendToHolder,
    UpstreamReported,
    UpstreamsChanged,
)
from trefoilpitch.coldstart._ledger import (
    Ledger,
    OutstandingCredit,
    available_credits,
    begin_tenure,
    end_tenure,
    give_back,
    is_warm,
    pass_time,
    settle,
    take_report,
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
from trefoilpitch.coldstart._rendezvous import choose_gatekeeper, has_quorum
from trefoilpitch.coldstart._settings import ColdStartSettings
from trefoilpitch.membership import MembershipView


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GatekeeperState:
    """What one daemon knows in its role as a gatekeeper."""

    # Intervals and limits.
    settings: ColdStartSettings
    # This process's incarnation.
    incarnation: str
    # Every upstream of the bundle, by name.
    upstreams: Mapping[str, Upstream] = dataclasses.field(default_factory=dict)
    # The latest view; ``None`` before the first.
    view: MembershipView | None = None
    # Books by upstream name.
    ledgers: Mapping[str, Ledger] = dataclasses.field(default_factory=dict)
    # The number of the next credit.
    next_number: int = 1


Outcome = tuple[GatekeeperState, tuple[SendToHolder, ...]]


def create_gatekeeper(
    incarnation: str, settings: ColdStartSettings | None = None
) -> GatekeeperState:
    """Builds the state of a daemon that just started."""
    return GatekeeperState(
        settings=settings or ColdStartSettings(), incarnation=incarnation
    )


def step_gatekeeper(
    state: GatekeeperState, event: GatekeeperEvent, now_ms: int
) -> Outcome:
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
            return _observe_fleet(state, view, now_ms), ()
        case UpstreamsChanged(upstreams=upstreams):
            return _change_upstreams(state, upstreams, now_ms), ()
        case UpstreamReported():
            return _take_report(state, event, now_ms), ()
        case HolderSpoke():
            return _hear_holder(state, event, now_ms)


def is_acting(state: GatekeeperState, upstream: str, now_ms: int) -> bool:
    """Tells whether this daemon may grant credits for an upstream now.

    A daemon that was paused fails this until it has taken a new view.
    """
    ledger = state.ledgers.get(upstream)
    if ledger is None or ledger.tenure_ms is None or state.view is None:
        return False
    age_ms = now_ms - state.view.as_of_ms
    return age_ms <= state.settings.view_age_limit_ms


def _observe_fleet(
    state: GatekeeperState, view: MembershipView, now_ms: int
) -> GatekeeperState:
    before = state.view
    limit_ms = state.settings.view_age_limit_ms
    # Credits may have been granted elsewhere while no view was fresh.
    is_continuous = (
        before is not None and view.as_of_ms - before.as_of_ms <= limit_ms
    )
    state = dataclasses.replace(state, view=view)
    ledgers: dict[str, Ledger] = {}
    for name, upstream in state.upstreams.items():
        ledger = state.ledgers.get(name, Ledger())
        if ledger.tenure_ms is not None and not is_continuous:
            ledger = end_tenure(ledger)
        if not _is_gatekeeper(state, view, upstream, now_ms):
            ledger = end_tenure(ledger)
        elif ledger.tenure_ms is None:
            ledger = begin_tenure(ledger, now_ms, state.settings)
        ledgers[name] = pass_time(ledger, now_ms, state.settings)
    return dataclasses.replace(state, ledgers=ledgers)


def _is_gatekeeper(
    state: GatekeeperState,
    view: MembershipView,
    upstream: Upstream,
    now_ms: int,
) -> bool:
    settings = state.settings
    if not view.is_settled:
        return False
    if now_ms - view.as_of_ms > settings.view_age_limit_ms:
        return False
    chosen = choose_gatekeeper(view, upstream, settings)
    if chosen is None or chosen.name != view.own_name:
        return False
    return has_quorum(view, upstream, settings)


def _change_upstreams(
    state: GatekeeperState, upstreams: Iterable[Upstream], now_ms: int
) -> GatekeeperState:
    by_name = {upstream.name: upstream for upstream in upstreams}
    ledgers = {
        name: ledger
        for name, ledger in state.ledgers.items()
        if name in by_name
    }
    state = dataclasses.replace(state, upstreams=by_name, ledgers=ledgers)
    if state.view is None:
        return state
    return _observe_fleet(state, state.view, now_ms)


def _take_report(
    state: GatekeeperState, event: UpstreamReported, now_ms: int
) -> GatekeeperState:
    if event.upstream not in state.upstreams:
        return state
    ledger = state.ledgers.get(event.upstream, Ledger())
    ledger = pass_time(ledger, now_ms, state.settings)
    ledger = take_report(
        ledger,
        incarnation=event.incarnation,
        running=event.running,
        as_of_ms=event.as_of_ms,
        settings=state.settings,
    )
    return _with_ledger(state, event.upstream, ledger)


def _hear_holder(
    state: GatekeeperState, event: HolderSpoke, now_ms: int
) -> Outcome:
    name = event.message.upstream
    upstream = state.upstreams.get(name)
    ledger = state.ledgers.get(name)
    if upstream is None or ledger is None:
        return _refuse(state, event)
    ledger = pass_time(ledger, now_ms, state.settings)
    state = _with_ledger(state, name, ledger)
    match event.message:
        case CreditRequest():
            if not is_acting(state, name, now_ms):
                return _refuse(state, event)
            return _answer(state, event, event.message, now_ms)
        case CreditReturn(credit=credit, is_success=is_success):
            if credit.issuer == state.incarnation:
                ledger = give_back(
                    ledger,
                    number=credit.number,
                    holder=event.holder,
                    is_success=is_success,
                )
            return _with_ledger(state, name, ledger), ()
        case Holding() as holding:
            ledger = settle(
                ledger,
                issuer=state.incarnation,
                holder=event.holder,
                holding=holding,
            )
            return _with_ledger(state, name, ledger), ()
        case ColdSign(upstream_incarnation=incarnation):
            return _hear_cold_sign(state, name, incarnation, now_ms)


def _refuse(state: GatekeeperState, event: HolderSpoke) -> Outcome:
    if not isinstance(event.message, CreditRequest):
        return state, ()
    request = event.message
    refusal = CreditRefusal(request.upstream, request.sequence)
    return state, (SendToHolder(event.address, refusal),)


def _answer(
    state: GatekeeperState,
    event: HolderSpoke,
    request: CreditRequest,
    now_ms: int,
) -> Outcome:
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
    numbers = range(first, first + count)
    outstanding = dict(ledger.outstanding)
    outstanding.update(dict.fromkeys(numbers, credit))
    ledger = dataclasses.replace(ledger, outstanding=outstanding)
    state = _with_ledger(state, request.upstream, ledger)
    state = dataclasses.replace(state, next_number=first + count)
    grant = CreditGrant(
        upstream=request.upstream,
        sequence=request.sequence,
        upstream_incarnation=ledger.incarnation,
        credits=tuple(
            CreditRef(state.incarnation, number) for number in numbers
        ),
        validity_ms=state.settings.validity_ms,
    )
    return state, (SendToHolder(event.address, grant),)


def _tell_warm(
    state: GatekeeperState, event: HolderSpoke, request: CreditRequest
) -> Outcome:
    ledger = state.ledgers[request.upstream]
    ledger = dataclasses.replace(
        ledger, warm_holders=ledger.warm_holders | {event.address}
    )
    notice = WarmNotice(request.upstream, request.sequence, ledger.incarnation)
    state = _with_ledger(state, request.upstream, ledger)
    return state, (SendToHolder(event.address, notice),)


def _hear_cold_sign(
    state: GatekeeperState, name: str, incarnation: str, now_ms: int
) -> Outcome:
    ledger = state.ledgers[name]
    is_current = incarnation in (UNKNOWN_INCARNATION, ledger.incarnation)
    # While work is being counted, further signs tell nothing new.
    if ledger.inherited is None or not is_current:
        return state, ()
    notice = ColdNotice(name, ledger.incarnation)
    sends = tuple(
        SendToHolder(address, notice) for address in sorted(ledger.warm_holders)
    )
    ledger = turn_cold(ledger, now_ms, state.settings)
    return _with_ledger(state, name, ledger), sends


def _with_ledger(
    state: GatekeeperState, name: str, ledger: Ledger
) -> GatekeeperState:
    return dataclasses.replace(state, ledgers={**state.ledgers, name: ledger})
