"""A gatekeeper's ledger of one upstream: its credits and its ramp."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from trefoilpitch.bundle import Upstream
from trefoilpitch.coldstart._credits import (
    EndedTenure,
    OutstandingCredit,
    UntrackedWork,
)
from trefoilpitch.coldstart._messages import (
    UNKNOWN_INCARNATION,
    CreditRef,
    HandedOverCredit,
    HeldCredits,
)
from trefoilpitch.coldstart._ramp import ramp_limit, successes_until_warm
from trefoilpitch.coldstart._settings import ColdStartSettings


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ledger:
    """A gatekeeper's state for one upstream."""

    # Since when this daemon has been the gatekeeper without interruption, in
    # its own view; ``None`` if it is not.
    tenure_ms: int | None = None
    # Time from which no work can start that the ledger doesn't track.
    latest_untracked_start_ms: int = 0
    # The upstream's incarnation; empty if there is no recent report.
    incarnation: str = UNKNOWN_INCARNATION
    # When the latest report was requested; ``None`` if there is no recent one.
    report_ms: int | None = None
    # Whether the latest report states that the cold start is over.
    reported_warm: bool = False
    # Pieces of work that succeeded since the upstream was last cold.
    successes: int = 0
    # Credits of this tenure and those that were handed over.
    outstanding: Mapping[CreditRef, OutstandingCredit] = dataclasses.field(
        default_factory=dict
    )
    # Running work without a tracked credit; ``None`` until it is known, and
    # no credits are granted until then.
    untracked: UntrackedWork | None = None
    # Peer addresses of holders that received a ``WarmNotice``.
    notified_addresses: frozenset[str] = frozenset()
    # State of the latest tenure to hand over, if it ended because another
    # member became the gatekeeper.
    ended_tenure: EndedTenure | None = None


def is_warm(ledger: Ledger, upstream: Upstream) -> bool:
    """Tells whether the upstream has completed its ramp."""
    if ledger.incarnation == UNKNOWN_INCARNATION or not ledger.reported_warm:
        return False
    return ledger.successes >= successes_until_warm(upstream)


def available_credits(ledger: Ledger, upstream: Upstream) -> int:
    """Returns how many credits may be granted now.

    The ramp begins when the upstream reports that its cold start is over.
    Until then the limit is the bundle's cold capacity, however much work has
    succeeded.
    """
    if ledger.untracked is None:
        return 0
    limit = upstream.cold_capacity
    if ledger.incarnation != UNKNOWN_INCARNATION and ledger.reported_warm:
        limit = ramp_limit(upstream, ledger.successes)
    used = len(ledger.outstanding) + ledger.untracked.count
    return max(limit - used, 0)


def begin_tenure(
    ledger: Ledger, now_ms: int, settings: ColdStartSettings
) -> Ledger:
    """Begins a tenure.

    Sets the time from which credits of earlier gatekeepers can't be used.
    """
    return dataclasses.replace(
        end_tenure(ledger),
        tenure_ms=now_ms,
        ended_tenure=None,
        latest_untracked_start_ms=now_ms + settings.takeover_ms,
    )


def end_tenure(ledger: Ledger) -> Ledger:
    """Ends a tenure and discards the state that is valid only within it."""
    return dataclasses.replace(
        ledger,
        tenure_ms=None,
        successes=0,
        outstanding={},
        untracked=None,
        notified_addresses=frozenset(),
    )


def end_tenure_for_handover(ledger: Ledger, now_ms: int) -> Ledger:
    """Ends a tenure and keeps its state to hand over to the next gatekeeper."""
    ended_tenure = None
    if ledger.untracked is not None:
        ended_tenure = EndedTenure(
            ended_ms=now_ms,
            credits=_credits_to_hand_over(ledger),
            untracked=ledger.untracked.count,
            incarnation=ledger.incarnation,
            successes=ledger.successes,
        )
    return dataclasses.replace(end_tenure(ledger), ended_tenure=ended_tenure)


def apply_handover(
    ledger: Ledger,
    *,
    previous: EndedTenure,
    now_ms: int,
    settings: ColdStartSettings,
) -> Ledger:
    """Continues with the state of the previous gatekeeper."""
    is_same = previous.incarnation == ledger.incarnation != UNKNOWN_INCARNATION
    successes = previous.successes
    release_ms = now_ms + settings.release_ms
    ledger = dataclasses.replace(
        ledger,
        outstanding={
            credit.credit: OutstandingCredit(
                holder=credit.holder,
                sequence=credit.sequence,
                upstream_incarnation=credit.upstream_incarnation,
                release_ms=release_ms,
            )
            for credit in previous.credits
        },
        successes=successes if is_same else 0,
    )
    return _with_untracked(ledger, previous.untracked, release_ms)


def apply_report(
    ledger: Ledger,
    *,
    incarnation: str,
    running: int,
    reported_warm: bool,
    as_of_ms: int,
    settings: ColdStartSettings,
) -> Ledger:
    """Applies an upstream's load report."""
    if ledger.report_ms is not None and as_of_ms < ledger.report_ms:
        return ledger
    if incarnation != ledger.incarnation:
        ledger = _change_incarnation(ledger, incarnation)
    ledger = dataclasses.replace(
        ledger, report_ms=as_of_ms, reported_warm=reported_warm
    )
    if ledger.tenure_ms is None:
        return ledger
    # A report of an earlier state may miss work started since on credits of
    # earlier gatekeepers.
    if as_of_ms < ledger.latest_untracked_start_ms + settings.report_lag_ms:
        return ledger
    if ledger.untracked is not None:
        fewer = min(ledger.untracked.count, running)
        release_ms = ledger.untracked.release_ms
        if fewer:
            # Work that a report still shows may run longer than
            # ``max_work_ms``, so its release is postponed.
            release_ms = max(release_ms, as_of_ms + settings.max_work_ms)
        return _with_untracked(ledger, fewer, release_ms)
    release_ms = ledger.latest_untracked_start_ms + settings.max_work_ms
    return _with_untracked(ledger, running, release_ms)


def release_expired(
    ledger: Ledger, now_ms: int, settings: ColdStartSettings
) -> Ledger:
    """Releases work that can't be running any more; expires an old report."""
    report_ms = ledger.report_ms
    if report_ms is not None and (
        now_ms - report_ms > settings.report_age_limit_ms
    ):
        ledger = dataclasses.replace(
            _change_incarnation(ledger, UNKNOWN_INCARNATION), report_ms=None
        )
    if ledger.tenure_ms is None:
        return ledger
    untracked_end_ms = ledger.latest_untracked_start_ms + settings.max_work_ms
    if ledger.untracked is None:
        if now_ms >= untracked_end_ms:
            ledger = _with_untracked(ledger, 0, now_ms)
    elif now_ms >= ledger.untracked.release_ms and ledger.untracked.count:
        ledger = _with_untracked(ledger, 0, now_ms)
    kept = {
        ref: credit
        for ref, credit in ledger.outstanding.items()
        if now_ms < credit.release_ms
    }
    if len(kept) != len(ledger.outstanding):
        ledger = dataclasses.replace(ledger, outstanding=kept)
    return ledger


def release_unheld(
    ledger: Ledger, *, holder: str, held_credits: HeldCredits, release_ms: int
) -> Ledger:
    """Releases credits that a holder no longer holds and extends the others.

    Args:
        ledger: The ledger; not modified.
        holder: The holder's process incarnation.
        held_credits: The holder's message.
        release_ms: When the credits that it still holds are released, unless
            a later message lists them again.
    """
    held = frozenset(held_credits.held)
    kept: dict[CreditRef, OutstandingCredit] = {}
    for ref, credit in ledger.outstanding.items():
        if credit.holder != holder:
            kept[ref] = credit
        elif ref in held:
            kept[ref] = dataclasses.replace(credit, release_ms=release_ms)
        elif credit.sequence > held_credits.settled_sequence:
            kept[ref] = credit
    return dataclasses.replace(ledger, outstanding=kept)


def return_credit(
    ledger: Ledger, *, ref: CreditRef, holder: str, is_success: bool
) -> Ledger:
    """Releases a returned credit; a success counts towards the ramp."""
    credit = ledger.outstanding.get(ref)
    if credit is None or credit.holder != holder:
        return ledger
    kept = dict(ledger.outstanding)
    del kept[ref]
    counts = (
        is_success
        and credit.upstream_incarnation == ledger.incarnation
        and ledger.incarnation != UNKNOWN_INCARNATION
    )
    return dataclasses.replace(
        ledger,
        outstanding=kept,
        successes=ledger.successes + 1 if counts else ledger.successes,
    )


def restart_ramp(
    ledger: Ledger, now_ms: int, settings: ColdStartSettings
) -> Ledger:
    """Restarts the ramp after a sign of a cold start.

    No credits are granted until a report shows how much work is running that
    began while the upstream was warm.
    """
    return dataclasses.replace(
        ledger,
        successes=0,
        notified_addresses=frozenset(),
        untracked=None,
        latest_untracked_start_ms=now_ms + settings.margin_ms,
    )


def _credits_to_hand_over(ledger: Ledger) -> tuple[HandedOverCredit, ...]:
    return tuple(
        HandedOverCredit(
            ref, credit.holder, credit.sequence, credit.upstream_incarnation
        )
        for ref, credit in ledger.outstanding.items()
    )


def _with_untracked(ledger: Ledger, count: int, release_ms: int) -> Ledger:
    work = UntrackedWork(count=count, release_ms=release_ms)
    return dataclasses.replace(ledger, untracked=work)


def _change_incarnation(ledger: Ledger, incarnation: str) -> Ledger:
    """Records a restart, or that the incarnation became unknown or known.

    Work on a known earlier incarnation ended with it.
    """
    outstanding = ledger.outstanding
    if incarnation != UNKNOWN_INCARNATION:
        outstanding = {
            ref: credit
            for ref, credit in outstanding.items()
            if credit.upstream_incarnation in (UNKNOWN_INCARNATION, incarnation)
        }
    return dataclasses.replace(
        ledger,
        incarnation=incarnation,
        reported_warm=False,
        successes=0,
        notified_addresses=frozenset(),
        outstanding=outstanding,
    )
