"""The credit holder's state machine of the cold start protocol."""

from __future__ import annotations

import dataclasses

from trefoilpitch.bundle import Upstream
from trefoilpitch.coldstart._account import (
    Account,
    PendingRequest,
    UnusedCredit,
    abandon_work,
    end_work,
    expire,
    release_abandoned,
    use_credit,
)
from trefoilpitch.coldstart._events import (
    Admission,
    AdmissionChanged,
    AdmissionKind,
    DemandChanged,
    FleetObserved,
    GatekeeperMessageReceived,
    HolderAction,
    HolderEvent,
    TimePassed,
    UpstreamReported,
    UpstreamsChanged,
    WorkEnded,
    WorkOutcome,
)
from trefoilpitch.coldstart._holder_state import (
    HolderOutcome,
    HolderState,
    with_account,
)
from trefoilpitch.coldstart._messages import (
    ColdNotice,
    ColdSign,
    CreditGrant,
    CreditRefusal,
    CreditReturn,
    HolderMessage,
    WarmNotice,
)
from trefoilpitch.coldstart._rendezvous import create_roster
from trefoilpitch.coldstart._requests import (
    messages_to_gatekeeper,
    report_held_credits,
    request_credits,
)
from trefoilpitch.coldstart._warmth import (
    current_incarnation,
    is_known_warm,
    mark_cold,
    mark_warm,
    record_latency,
    record_report,
)

_COLD_OUTCOMES = (WorkOutcome.REFUSED, WorkOutcome.UNREACHABLE)


def step_holder(
    state: HolderState, event: HolderEvent, now_ms: int
) -> HolderOutcome:
    """Applies one event.

    Args:
        state: The current state; not modified.
        event: What happened.
        now_ms: Monotonic time.

    Returns:
        The new state, and the actions for the caller to carry out.
    """
    outcome: HolderOutcome
    match event:
        case FleetObserved(view=view):
            roster = create_roster(view, state.settings)
            outcome = dataclasses.replace(state, roster=roster), ()
        case UpstreamsChanged(upstreams=upstreams):
            outcome = _change_upstreams(state, upstreams), ()
        case UpstreamReported():
            outcome = _record_report(state, event, now_ms)
        case GatekeeperMessageReceived():
            outcome = _handle_gatekeeper_message(state, event, now_ms)
        case DemandChanged():
            outcome = _change_demand(state, event, now_ms)
        case WorkEnded():
            outcome = _end_work(state, event, now_ms)
        case TimePassed():
            outcome = _handle_time_passed(state, now_ms)
    return outcome


def admit_work(
    state: HolderState, upstream: str, now_ms: int
) -> tuple[HolderState, Admission]:
    """Decides whether one piece of work may be sent to an upstream now.

    Work that is admitted must be sent at once or be reported as not run; its
    end must be reported by ``WorkEnded`` in either case.

    Args:
        state: The current state; not modified.
        upstream: The upstream's name.
        now_ms: Monotonic time, read just before the work is sent.
    """
    settings = state.settings
    account = state.accounts.get(upstream, Account())
    incarnation = current_incarnation(account.warmth, now_ms, settings)
    if is_known_warm(account.warmth, now_ms, settings):
        return state, Admission(
            upstream=upstream,
            kind=AdmissionKind.WARM,
            upstream_incarnation=incarnation,
        )
    account, credit = use_credit(account, incarnation, now_ms)
    if credit is None:
        return state, Admission(upstream=upstream, kind=AdmissionKind.WAIT)
    admission = Admission(
        upstream=upstream,
        kind=AdmissionKind.CREDIT,
        credit=credit,
        upstream_incarnation=incarnation,
    )
    return with_account(state, upstream, account), admission


def is_cold(state: HolderState, upstream: str, now_ms: int) -> bool:
    """Tells whether work for an upstream needs a credit."""
    account = state.accounts.get(upstream, Account())
    return not is_known_warm(account.warmth, now_ms, state.settings)


def usable_credits(state: HolderState, upstream: str, now_ms: int) -> int:
    """Returns how many pieces of work may start on a cold upstream now."""
    account = state.accounts.get(upstream, Account())
    settings = state.settings
    incarnation = current_incarnation(account.warmth, now_ms, settings)
    count = 0
    while True:
        account, credit = use_credit(account, incarnation, now_ms)
        if credit is None:
            return count
        count += 1


def _change_upstreams(
    state: HolderState, upstreams: tuple[Upstream, ...]
) -> HolderState:
    by_name = {upstream.name: upstream for upstream in upstreams}
    accounts = {
        name: account
        for name, account in state.accounts.items()
        if name in by_name or account.running or account.abandoned
    }
    return dataclasses.replace(state, upstreams=by_name, accounts=accounts)


def _record_report(
    state: HolderState, event: UpstreamReported, now_ms: int
) -> HolderOutcome:
    account = state.accounts.get(event.upstream, Account())
    warmth = record_report(
        account.warmth,
        incarnation=event.incarnation,
        running=event.running,
        as_of_ms=event.as_of_ms,
        settings=state.settings,
    )
    account = dataclasses.replace(account, warmth=warmth)
    account, ended = release_abandoned(
        account, event.running, event.as_of_ms, state.settings
    )
    state = with_account(state, event.upstream, account)
    returns: list[HolderMessage] = [
        CreditReturn(event.upstream, ref, is_success=False) for ref in ended
    ]
    return state, messages_to_gatekeeper(state, event.upstream, returns)


def _handle_gatekeeper_message(
    state: HolderState, event: GatekeeperMessageReceived, now_ms: int
) -> HolderOutcome:
    message = event.message
    name = message.upstream
    account = state.accounts.get(name, Account())
    if isinstance(message, ColdNotice):
        if message.upstream_incarnation != account.warmth.warm_incarnation:
            return state, ()
        return _mark_cold(state, name, account, now_ms), ()
    pending = account.pending
    if pending is None or pending.sequence != message.sequence:
        return state, ()
    account = dataclasses.replace(account, pending=None)
    match message:
        case CreditGrant():
            account = _accept_grant(account, pending, message, now_ms)
        case WarmNotice(upstream_incarnation=incarnation):
            warmth = mark_warm(
                account.warmth,
                incarnation,
                pending.sent_ms,
                now_ms,
                state.settings,
            )
            account = dataclasses.replace(
                account,
                warmth=warmth,
                retry_ms=now_ms + state.settings.retry_ms,
            )
        case CreditRefusal():
            account = dataclasses.replace(
                account, retry_ms=now_ms + state.settings.retry_ms
            )
    return with_account(state, name, account), (AdmissionChanged(name),)


def _accept_grant(
    account: Account, pending: PendingRequest, grant: CreditGrant, now_ms: int
) -> Account:
    expires_ms = pending.sent_ms + grant.validity_ms
    if now_ms >= expires_ms:
        return account
    received = tuple(
        UnusedCredit(
            ref=ref,
            upstream_incarnation=grant.upstream_incarnation,
            expires_ms=expires_ms,
        )
        for ref in grant.credits
    )
    return dataclasses.replace(account, unused=account.unused + received)


def _change_demand(
    state: HolderState, event: DemandChanged, now_ms: int
) -> HolderOutcome:
    account = state.accounts.get(event.upstream, Account())
    account = dataclasses.replace(account, waiting=event.waiting)
    state = with_account(state, event.upstream, account)
    return request_credits(state, event.upstream, now_ms)


def _end_work(
    state: HolderState, event: WorkEnded, now_ms: int
) -> HolderOutcome:
    name = event.admission.upstream
    settings = state.settings
    account = state.accounts.get(name, Account())
    before = account.warmth
    messages: list[HolderMessage] = []
    credit = event.admission.credit
    if credit is not None and event.may_run:
        account = abandon_work(account, credit, now_ms, settings)
    elif credit is not None:
        account = end_work(account, credit)
        is_success = event.outcome is WorkOutcome.SUCCEEDED
        messages.append(CreditReturn(name, credit, is_success))
    warmth = before
    if event.outcome in _COLD_OUTCOMES:
        warmth = mark_cold(warmth, now_ms)
    elif event.latency_ms is not None:
        warmth = record_latency(warmth, event.latency_ms, now_ms, settings)
    if warmth.cold_ms != before.cold_ms:
        messages.append(ColdSign(name, before.incarnation))
    account = dataclasses.replace(account, warmth=warmth)
    state = with_account(state, name, account)
    return state, messages_to_gatekeeper(state, name, messages)


def _mark_cold(
    state: HolderState, name: str, account: Account, now_ms: int
) -> HolderState:
    warmth = mark_cold(account.warmth, now_ms)
    account = dataclasses.replace(account, warmth=warmth)
    return with_account(state, name, account)


def _handle_time_passed(state: HolderState, now_ms: int) -> HolderOutcome:
    actions: list[HolderAction] = []
    for name in list(state.accounts):
        account = expire(state.accounts[name], now_ms, state.settings)
        state = with_account(state, name, account)
        state, request_actions = request_credits(state, name, now_ms)
        state, held_credits_actions = report_held_credits(state, name, now_ms)
        actions.extend(request_actions + held_credits_actions)
    return state, tuple(actions)
