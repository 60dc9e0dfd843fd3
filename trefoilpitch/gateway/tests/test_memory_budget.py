"""Decisions of the memory budget."""

from __future__ import annotations

import random

import pytest

from trefoilpitch.gateway._memory_budget import (
    Account,
    BudgetLimits,
    HeldKind,
    MemoryBudget,
    Outcome,
    derive_limits,
)

_MB = 1024 * 1024
_TOTAL = 32 * _MB
_LIMITS = BudgetLimits(total_bytes=_TOTAL, max_connections=100)
_LATER_MS = 10_000


def _open(
    budget: MemoryBudget[str], name: str, address: str = "", now_ms: int = 0
) -> Account[str]:
    account, _ = budget.open(name, address or name, now_ms)
    assert account is not None
    return account


def _hold_bodies(
    budget: MemoryBudget[str], count: int, *, address: str = ""
) -> list[Account[str]]:
    """Opens accounts until one is refused; returns those that hold a body."""
    accounts: list[Account[str]] = []
    for number in range(count):
        account = _open(budget, f"body-{number}", address)
        decision = budget.hold(account, HeldKind.BODY, 4 * _MB, 0)
        if decision.outcome is not Outcome.GRANTED:
            break
        accounts.append(account)
    return accounts


def _outcome(
    budget: MemoryBudget[str],
    account: Account[str],
    size: int,
    now_ms: int = 0,
    kind: HeldKind = HeldKind.BODY,
) -> Outcome:
    return budget.hold(account, kind, size, now_ms).outcome


def test_without_limits_everything_is_granted_and_counted() -> None:
    budget: MemoryBudget[str] = MemoryBudget(BudgetLimits())
    accounts = _hold_bodies(budget, 1_000)
    assert len(accounts) == 1_000
    assert budget.held_bytes()[HeldKind.BODY] == 4_000 * _MB


@pytest.mark.parametrize("memory_mb", [96, 128, 150, 512, 4_096])
def test_limits_leave_room_for_the_process_itself(memory_mb: int) -> None:
    total = derive_limits(memory_mb, 4_100).total_bytes
    assert total is not None
    # A large body is copied once when it is complete.
    assert 40 * _MB + total + 4 * _MB <= memory_mb * _MB


def test_missing_limits_are_no_limits() -> None:
    assert derive_limits(None, None) == BudgetLimits()


def test_tiny_limits_still_leave_room_for_one_body() -> None:
    limits = derive_limits(10, 10)
    assert limits.total_bytes is not None
    assert limits.total_bytes > 4 * _MB
    assert limits.max_connections


def test_large_bodies_leave_room_for_small_requests() -> None:
    budget: MemoryBudget[str] = MemoryBudget(_LIMITS)
    bodies = _hold_bodies(budget, 20)
    assert 4 <= len(bodies) < 8
    for number in range(50):
        account = _open(budget, f"small-{number}")
        assert _outcome(budget, account, 50_000) is Outcome.GRANTED


def test_body_that_finds_no_room_may_come_back() -> None:
    budget: MemoryBudget[str] = MemoryBudget(_LIMITS)
    bodies = _hold_bodies(budget, 20)
    account = _open(budget, "late")
    assert _outcome(budget, account, 4 * _MB) is Outcome.NO_ROOM
    budget.close(bodies[0])
    assert _outcome(budget, account, 4 * _MB) is Outcome.GRANTED


def test_address_that_holds_more_than_its_share_is_told_so() -> None:
    budget: MemoryBudget[str] = MemoryBudget(BudgetLimits(total_bytes=_TOTAL))
    outcome = Outcome.GRANTED
    count = 0
    while outcome is Outcome.GRANTED:
        account = _open(budget, f"small-{count}", "one address")
        account.passed_on = True
        outcome = _outcome(budget, account, 90_000)
        count += 1
    assert outcome is Outcome.OVER_SHARE
    other = _open(budget, "other", "another address")
    assert _outcome(budget, other, 90_000) is Outcome.GRANTED


def test_bodies_of_one_workspace_leave_room_for_others() -> None:
    budget: MemoryBudget[str] = MemoryBudget(_LIMITS)
    outcomes = []
    for number in range(10):
        account = _open(budget, f"hot-{number}")
        account.workspace = "hot"
        outcomes.append(_outcome(budget, account, 4 * _MB))
    assert outcomes.count(Outcome.GRANTED) == 4
    assert outcomes[-1] is Outcome.NO_ROOM
    account = _open(budget, "usual")
    account.workspace = "usual"
    assert _outcome(budget, account, 4 * _MB) is Outcome.GRANTED


def test_body_without_progress_gives_way_and_the_largest_first() -> None:
    budget: MemoryBudget[str] = MemoryBudget(_LIMITS)
    stalled = _hold_bodies(budget, 20)
    progressing = stalled.pop()
    trickling = stalled[0]
    for now_ms in range(0, _LATER_MS, 200):
        budget.record_progress(progressing, 100_000, now_ms)
        budget.record_progress(trickling, 1, now_ms)
    account = _open(budget, "new", now_ms=_LATER_MS - 200)
    decision = budget.hold(account, HeldKind.BODY, 4 * _MB, _LATER_MS - 200)
    assert decision.outcome is Outcome.GRANTED
    assert decision.evicted
    assert progressing.owner not in decision.evicted
    assert all(owner.startswith("body") for owner in decision.evicted)


def test_body_that_makes_progress_does_not_give_way_to_another_body() -> None:
    budget: MemoryBudget[str] = MemoryBudget(_LIMITS)
    bodies = _hold_bodies(budget, 20)
    for body in bodies:
        budget.record_progress(body, 100_000, _LATER_MS)
    account = _open(budget, "new", now_ms=_LATER_MS)
    decision = budget.hold(account, HeldKind.BODY, 4 * _MB, _LATER_MS)
    assert decision.outcome is Outcome.NO_ROOM
    assert not decision.evicted


def test_request_that_was_passed_on_is_never_evicted() -> None:
    budget: MemoryBudget[str] = MemoryBudget(_LIMITS)
    bodies = _hold_bodies(budget, 20)
    for body in bodies:
        body.passed_on = True
    account = _open(budget, "new", now_ms=_LATER_MS)
    decision = budget.hold(account, HeldKind.BODY, 4 * _MB, _LATER_MS)
    assert decision.outcome is Outcome.NO_ROOM
    for number in range(500):
        small = _open(budget, f"small-{number}", now_ms=_LATER_MS)
        decision = budget.hold(small, HeldKind.HEAD, 50_000, _LATER_MS)
        assert not any(owner.startswith("body") for owner in decision.evicted)


def test_connections_over_the_limit_replace_the_least_active() -> None:
    budget: MemoryBudget[str] = MemoryBudget(_LIMITS)
    accounts = [_open(budget, f"idle-{number}") for number in range(100)]
    for account in accounts:
        budget.hold(account, HeldKind.CONNECTION, 16_000, 0)
    accounts[0].passed_on = True
    budget.record_served(accounts[1], 100)
    _, evicted = budget.open("new", "new", _LATER_MS)
    assert evicted
    assert not {"idle-0", "idle-1"} & set(evicted)
    assert budget.accounts <= 100


def test_connection_is_refused_if_all_requests_were_passed_on() -> None:
    budget: MemoryBudget[str] = MemoryBudget(_LIMITS)
    for number in range(100):
        _open(budget, f"busy-{number}").passed_on = True
    assert budget.open("new", "new", _LATER_MS) == (None, ())


def test_held_bytes_never_exceed_the_budget_and_end_at_zero() -> None:
    rng = random.Random(7)
    budget: MemoryBudget[str] = MemoryBudget(_LIMITS)
    accounts: list[Account[str]] = []
    for now_ms in range(0, 200_000, 20):
        opened, _ = budget.open(f"{now_ms}", f"{rng.randrange(9)}", now_ms)
        if opened is not None:
            opened.workspace = rng.choice([None, "a", "b"])
            accounts.append(opened)
        account = rng.choice(accounts)
        account.passed_on = rng.random() < 0.2
        size = rng.choice([0, 1_000, 80_000, 500_000, 4 * _MB])
        budget.hold(account, rng.choice(list(HeldKind)), size, now_ms)
        budget.record_progress(rng.choice(accounts), 2_000, now_ms)
        if rng.random() < 0.3:
            budget.close(accounts.pop(rng.randrange(len(accounts))))
        assert 0 <= sum(budget.held_bytes().values()) <= _TOTAL
        if not accounts:
            accounts.append(_open(budget, "again", now_ms=now_ms))
    for account in accounts:
        budget.close(account)
    assert not any(budget.held_bytes().values())
