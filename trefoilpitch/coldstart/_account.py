"""A holder's credits and demand for one upstream."""

from __future__ import annotations

import dataclasses

from trefoilpitch.coldstart._messages import UNKNOWN_INCARNATION, CreditRef
from trefoilpitch.coldstart._settings import ColdStartSettings
from trefoilpitch.coldstart._warmth import Warmth


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeldCredit:
    """A credit that was received and not used yet."""

    # The credit.
    ref: CreditRef
    # The upstream's incarnation that it is for; empty if unknown.
    upstream_incarnation: str
    # When it may no longer be used.
    expires_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeftWork:
    """Work that nobody here waits for any more, and that may run on."""

    # The credit that it uses up.
    ref: CreditRef
    # When it was left.
    left_ms: int
    # When it can't be running any more.
    release_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PendingRequest:
    """A request for credits that was not answered yet."""

    # Its number.
    sequence: int
    # When it was sent.
    sent_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Account:
    """What a holder knows of one upstream."""

    # Evidence that the upstream is warm or cold.
    warmth: Warmth = dataclasses.field(default_factory=Warmth)
    # Pieces of work that wait for admission.
    waiting: int = 0
    # Credits to use, oldest first.
    unused: tuple[HeldCredit, ...] = ()
    # Credits whose work is running.
    running: frozenset[CreditRef] = frozenset()
    # Work that was left and that no report shows to have ended, oldest first.
    left: tuple[LeftWork, ...] = ()
    # The request under way.
    pending: PendingRequest | None = None
    # The latest request sent.
    last_sequence: int = 0
    # When a request may be sent again.
    retry_ms: int = 0
    # When the gatekeeper is next told what is held.
    next_holding_ms: int = 0
    # The settled request that it was last told of, with nothing held.
    told_sequence: int = 0


def take_usable(
    account: Account, incarnation: str, now_ms: int
) -> tuple[Account, CreditRef | None]:
    """Puts a credit to use, if one is valid for the present incarnation.

    Args:
        account: The account before.
        incarnation: The upstream's incarnation; empty if unknown.
        now_ms: Monotonic time.
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
    """Notes that a credit's work ended or is known not to run."""
    return dataclasses.replace(account, running=account.running - {credit})


def leave_work(
    account: Account,
    credit: CreditRef,
    now_ms: int,
    settings: ColdStartSettings,
) -> Account:
    """Notes that a credit's work may run on although nobody waits for it."""
    left = LeftWork(
        ref=credit,
        left_ms=now_ms,
        release_ms=now_ms + settings.max_work_ms,
    )
    account = end_work(account, credit)
    return dataclasses.replace(account, left=(*account.left, left))


def release_left(
    account: Account, running: int, as_of_ms: int, settings: ColdStartSettings
) -> tuple[Account, tuple[CreditRef, ...]]:
    """Releases work that was left and that a report shows to have ended.

    A report doesn't tell whose work it shows: all of it may be what was left.

    Args:
        account: The account before.
        running: Pieces of work that the upstream runs.
        as_of_ms: When the report was asked for.
        settings: Intervals and limits.

    Returns:
        The account after, and the credits that were released.
    """
    seen_ms = as_of_ms - settings.report_lag_ms
    seen = tuple(work for work in account.left if work.left_ms <= seen_ms)
    unseen = account.left[len(seen) :]
    ended = seen[: max(len(seen) - running, 0)]
    # Long work goes on: what a report still shows is not released.
    release_ms = as_of_ms + settings.max_work_ms
    kept = tuple(
        dataclasses.replace(work, release_ms=max(work.release_ms, release_ms))
        for work in seen[len(ended) :]
    )
    account = dataclasses.replace(account, left=kept + unseen)
    return account, tuple(work.ref for work in ended)


def expire(
    account: Account, now_ms: int, settings: ColdStartSettings
) -> Account:
    """Drops credits, left work and a request that are too old."""
    pending = account.pending
    if pending is not None and (
        now_ms >= pending.sent_ms + settings.validity_ms
    ):
        pending = None
    return dataclasses.replace(
        account,
        pending=pending,
        unused=tuple(c for c in account.unused if now_ms < c.expires_ms),
        left=tuple(w for w in account.left if now_ms < w.release_ms),
    )


def held_refs(account: Account) -> tuple[CreditRef, ...]:
    """Returns the credits that may be running or may still be used."""
    unused = tuple(credit.ref for credit in account.unused)
    left = tuple(work.ref for work in account.left)
    return unused + tuple(account.running) + left


def settled_sequence(account: Account) -> int:
    """Returns the latest request that can't bring further credits.

    A grant that arrives after its request was given up is not accepted.
    """
    if account.pending is None:
        return account.last_sequence
    return account.last_sequence - 1


def _is_usable(credit: HeldCredit, incarnation: str, now_ms: int) -> bool:
    if now_ms >= credit.expires_ms:
        return False
    return credit.upstream_incarnation in (UNKNOWN_INCARNATION, incarnation)
