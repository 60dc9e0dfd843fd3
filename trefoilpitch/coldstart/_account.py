"""A holder's credits and demand for one upstream."""

from __future__ import annotations

import dataclasses

from trefoilpitch.coldstart._messages import UNKNOWN_INCARNATION, CreditRef
from trefoilpitch.coldstart._settings import ColdStartSettings
from trefoilpitch.coldstart._warmth import Warmth


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UnusedCredit:
    """A credit that was granted to this holder and not used yet."""

    ref: CreditRef
    # The upstream incarnation that it is valid for; empty if unknown.
    upstream_incarnation: str
    # Monotonic time from which it may no longer be used.
    expires_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AbandonedWork:
    """Work that no caller waits for any more but that may still be running."""

    # The credit that it occupies.
    ref: CreditRef
    # When the wait for it ended.
    abandoned_ms: int
    # Time from which it can't be running any more.
    release_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PendingRequest:
    """A request for credits that has no reply yet."""

    sequence: int
    sent_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Account:
    """A holder's state for one upstream."""

    # Observations that show whether the upstream is warm or cold.
    warmth: Warmth = dataclasses.field(default_factory=Warmth)
    # Pieces of work that wait for admission.
    waiting: int = 0
    # Credits not used yet, oldest first.
    unused: tuple[UnusedCredit, ...] = ()
    # Credits whose work is in flight.
    running: frozenset[CreditRef] = frozenset()
    # Abandoned work that no report has shown to have ended, oldest first.
    abandoned: tuple[AbandonedWork, ...] = ()
    # The request in flight; at most one at a time.
    pending: PendingRequest | None = None
    # The sequence number of the latest request sent.
    last_sequence: int = 0
    # Earliest time for the next request.
    retry_ms: int = 0
    # Earliest time for the next ``HeldCredits`` message.
    next_held_credits_ms: int = 0
    # The settled sequence of the last ``HeldCredits`` message that listed no
    # credits; with it unchanged, no further message is needed.
    reported_sequence: int = 0


def use_credit(
    account: Account, incarnation: str, now_ms: int
) -> tuple[Account, CreditRef | None]:
    """Uses the oldest credit that is valid for the current incarnation, if any.

    Args:
        account: The account; not modified.
        incarnation: The upstream's incarnation; empty if unknown.
        now_ms: Monotonic time.

    Returns:
        The new account, and the credit; None if there is no valid one.
    """
    for credit in account.unused:
        if _is_usable(credit, incarnation, now_ms):
            account = dataclasses.replace(
                account,
                unused=tuple(c for c in account.unused if c is not credit),
                running=account.running | {credit.ref},
            )
            return account, credit.ref
    return account, None


def end_work(account: Account, credit: CreditRef) -> Account:
    """Records that a credit's work ended or is known not to run."""
    return dataclasses.replace(account, running=account.running - {credit})


def abandon_work(
    account: Account,
    credit: CreditRef,
    now_ms: int,
    settings: ColdStartSettings,
) -> Account:
    """Records that a credit's work may still run but no caller waits for it."""
    abandoned = AbandonedWork(
        ref=credit,
        abandoned_ms=now_ms,
        release_ms=now_ms + settings.max_work_ms,
    )
    account = end_work(account, credit)
    return dataclasses.replace(
        account, abandoned=(*account.abandoned, abandoned)
    )


def release_abandoned(
    account: Account, running: int, as_of_ms: int, settings: ColdStartSettings
) -> tuple[Account, tuple[CreditRef, ...]]:
    """Releases abandoned work that a load report shows to have ended.

    A report doesn't tell whose work is running, so all of it is counted as
    abandoned work of this holder.

    Args:
        account: The account; not modified.
        running: Pieces of work that the upstream runs.
        as_of_ms: When the report was requested.
        settings: Intervals and limits.

    Returns:
        The new account, and the credits of the released work.
    """
    seen_ms = as_of_ms - settings.report_lag_ms
    seen = tuple(
        work for work in account.abandoned if work.abandoned_ms <= seen_ms
    )
    unseen = account.abandoned[len(seen) :]
    ended = seen[: max(len(seen) - running, 0)]
    # Work that a report still shows may run longer than ``max_work_ms``, so its
    # release is postponed.
    release_ms = as_of_ms + settings.max_work_ms
    kept = tuple(
        dataclasses.replace(work, release_ms=max(work.release_ms, release_ms))
        for work in seen[len(ended) :]
    )
    account = dataclasses.replace(account, abandoned=kept + unseen)
    return account, tuple(work.ref for work in ended)


def expire(
    account: Account, now_ms: int, settings: ColdStartSettings
) -> Account:
    """Removes expired credits, abandoned work and a timed-out request."""
    pending = account.pending
    if pending is not None and (
        now_ms >= pending.sent_ms + settings.validity_ms
    ):
        pending = None
    return dataclasses.replace(
        account,
        pending=pending,
        unused=tuple(c for c in account.unused if now_ms < c.expires_ms),
        abandoned=tuple(w for w in account.abandoned if now_ms < w.release_ms),
    )


def held_refs(account: Account) -> tuple[CreditRef, ...]:
    """Returns the credits that are in use or may still be used."""
    unused = tuple(credit.ref for credit in account.unused)
    abandoned = tuple(work.ref for work in account.abandoned)
    return unused + tuple(account.running) + abandoned


def settled_sequence(account: Account) -> int:
    """Returns the latest request that can't bring further credits.

    A grant that arrives after its request timed out is not accepted.
    """
    if account.pending is None:
        return account.last_sequence
    return account.last_sequence - 1


def _is_usable(credit: UnusedCredit, incarnation: str, now_ms: int) -> bool:
    if now_ms >= credit.expires_ms:
        return False
    return credit.upstream_incarnation in (UNKNOWN_INCARNATION, incarnation)
