"""What a gatekeeper knows of one upstream: its credits and its ramp."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from trefoilpitch.bundle import Upstream
from trefoilpitch.coldstart._credits import (
    InheritedWork,
    OutstandingCredit,
    Parting,
)
from trefoilpitch.coldstart._messages import (
    UNKNOWN_INCARNATION,
    CreditRef,
    HandedCredit,
    Holding,
)
from trefoilpitch.coldstart._ramp import ramp_limit, successes_when_warm
from trefoilpitch.coldstart._settings import ColdStartSettings


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ledger:
    """A gatekeeper's books on one upstream."""

    # Since when this daemon is the gatekeeper in its own view, without a
    # break; ``None`` if it is not.
    tenure_ms: int | None = None
    # From when work that the ledger doesn't list can't be started any more.
    void_ms: int = 0
    # The upstream's incarnation; empty if no recent report tells.
    incarnation: str = UNKNOWN_INCARNATION
    # When the latest report was asked for.
    report_ms: int | None = None
    # Whether the latest report says that the cold start is over.
    reported_warm: bool = False
    # Pieces of work that succeeded since the upstream was last cold.
    successes: int = 0
    # Credits of this tenure and those that were handed over.
    outstanding: Mapping[CreditRef, OutstandingCredit] = dataclasses.field(
        default_factory=dict
    )
    # Work that the ledger doesn't list; ``None`` until it is known.
    inherited: InheritedWork | None = None
    # Peer addresses of holders that were told that the upstream is warm.
    warm_holders: frozenset[str] = frozenset()
    # Left from the latest tenure, if it ended by a change of the fleet.
    parting: Parting | None = None


def is_warm(ledger: Ledger, upstream: Upstream) -> bool:
    """Tells whether the upstream has come through its ramp."""
    if ledger.incarnation == UNKNOWN_INCARNATION or not ledger.reported_warm:
        return False
    return ledger.successes >= successes_when_warm(upstream)


def available_credits(ledger: Ledger, upstream: Upstream) -> int:
    """Returns how many credits may be granted now.

    The ramp begins when the upstream says that its cold start is over; until
    then it bears what the bundle says, whatever has succeeded.
    """
    if ledger.inherited is None:
        return 0
    bound = upstream.cold_capacity
    if ledger.incarnation != UNKNOWN_INCARNATION and ledger.reported_warm:
        bound = ramp_limit(upstream, ledger.successes)
    used = len(ledger.outstanding) + ledger.inherited.count
    return max(bound - used, 0)


def begin_tenure(
    ledger: Ledger, now_ms: int, settings: ColdStartSettings
) -> Ledger:
    """Begins to count the time until earlier credits are void."""
    return dataclasses.replace(
        end_tenure(ledger),
        tenure_ms=now_ms,
        parting=None,
        void_ms=now_ms + settings.takeover_ms,
    )


def end_tenure(ledger: Ledger) -> Ledger:
    """Forgets all that only holds while being the gatekeeper."""
    return dataclasses.replace(
        ledger,
        tenure_ms=None,
        successes=0,
        outstanding={},
        inherited=None,
        warm_holders=frozenset(),
    )


def part(ledger: Ledger, now_ms: int) -> Ledger:
    """Ends a tenure because another member became the gatekeeper."""
    parting = None
    if ledger.inherited is not None:
        parting = Parting(
            parted_ms=now_ms,
            credits=_hand_over(ledger),
            inherited=ledger.inherited.count,
            incarnation=ledger.incarnation,
            successes=ledger.successes,
        )
    return dataclasses.replace(end_tenure(ledger), parting=parting)


def take_over(
    ledger: Ledger,
    *,
    handed: Parting,
    now_ms: int,
    settings: ColdStartSettings,
) -> Ledger:
    """Goes on where the previous gatekeeper stopped."""
    is_same = handed.incarnation == ledger.incarnation != UNKNOWN_INCARNATION
    successes = handed.successes
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
            for credit in handed.credits
        },
        successes=successes if is_same else 0,
    )
    return _inherit(ledger, handed.inherited, release_ms)


def take_report(
    ledger: Ledger,
    *,
    incarnation: str,
    running: int,
    reported_warm: bool,
    as_of_ms: int,
    settings: ColdStartSettings,
) -> Ledger:
    """Takes in an upstream's report of its load."""
    if ledger.report_ms is not None and as_of_ms < ledger.report_ms:
        return ledger
    if incarnation != ledger.incarnation:
        ledger = _change_incarnation(ledger, incarnation)
    ledger = dataclasses.replace(
        ledger, report_ms=as_of_ms, reported_warm=reported_warm
    )
    if ledger.tenure_ms is None:
        return ledger
    # Earlier, unused credits may still add to what the report shows.
    if as_of_ms < ledger.void_ms + settings.report_lag_ms:
        return ledger
    if ledger.inherited is not None:
        fewer = min(ledger.inherited.count, running)
        release_ms = ledger.inherited.release_ms
        if fewer:
            # Long work goes on: what a report still shows is not released.
            release_ms = max(release_ms, as_of_ms + settings.max_work_ms)
        return _inherit(ledger, fewer, release_ms)
    release_ms = ledger.void_ms + settings.max_work_ms
    return _inherit(ledger, running, release_ms)


def pass_time(
    ledger: Ledger, now_ms: int, settings: ColdStartSettings
) -> Ledger:
    """Releases what can't be running any more and drops an old report."""
    report_ms = ledger.report_ms
    if report_ms is not None and (
        now_ms - report_ms > settings.report_age_limit_ms
    ):
        ledger = dataclasses.replace(
            _change_incarnation(ledger, UNKNOWN_INCARNATION), report_ms=None
        )
    if ledger.tenure_ms is None:
        return ledger
    idle_ms = ledger.void_ms + settings.max_work_ms
    if ledger.inherited is None:
        if now_ms >= idle_ms:
            ledger = _inherit(ledger, 0, now_ms)
    elif now_ms >= ledger.inherited.release_ms and ledger.inherited.count:
        ledger = _inherit(ledger, 0, now_ms)
    kept = {
        ref: credit
        for ref, credit in ledger.outstanding.items()
        if now_ms < credit.release_ms
    }
    if len(kept) != len(ledger.outstanding):
        ledger = dataclasses.replace(ledger, outstanding=kept)
    return ledger


def settle(
    ledger: Ledger, *, holder: str, holding: Holding, release_ms: int
) -> Ledger:
    """Releases credits that a holder says it neither uses nor will use.

    Args:
        ledger: The books.
        holder: The holder's incarnation.
        holding: What it says.
        release_ms: Until when the credits that it does hold are kept, unless
            it says again that it holds them.
    """
    held = frozenset(holding.held)
    kept: dict[CreditRef, OutstandingCredit] = {}
    for ref, credit in ledger.outstanding.items():
        if credit.holder != holder:
            kept[ref] = credit
        elif ref in held:
            kept[ref] = dataclasses.replace(credit, release_ms=release_ms)
        elif credit.sequence > holding.settled_sequence:
            kept[ref] = credit
    return dataclasses.replace(ledger, outstanding=kept)


def give_back(
    ledger: Ledger, *, ref: CreditRef, holder: str, is_success: bool
) -> Ledger:
    """Takes a credit back; a success counts towards the ramp."""
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


def turn_cold(
    ledger: Ledger, now_ms: int, settings: ColdStartSettings
) -> Ledger:
    """Returns to the start of the ramp on a sign of a cold start.

    Grants nothing until a report tells how much work is running that began
    while the upstream was warm.
    """
    return dataclasses.replace(
        ledger,
        successes=0,
        warm_holders=frozenset(),
        inherited=None,
        void_ms=now_ms + settings.margin_ms,
    )


def _hand_over(ledger: Ledger) -> tuple[HandedCredit, ...]:
    return tuple(
        HandedCredit(
            ref, credit.holder, credit.sequence, credit.upstream_incarnation
        )
        for ref, credit in ledger.outstanding.items()
    )


def _inherit(ledger: Ledger, count: int, release_ms: int) -> Ledger:
    work = InheritedWork(count=count, release_ms=release_ms)
    return dataclasses.replace(ledger, inherited=work)


def _change_incarnation(ledger: Ledger, incarnation: str) -> Ledger:
    """Notes a restart, or that the incarnation is unknown or known again.

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
        warm_holders=frozenset(),
        outstanding=outstanding,
    )
