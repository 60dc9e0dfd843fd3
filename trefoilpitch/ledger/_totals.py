"""Deduplicates the bills of all segments and totals them by workspace."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from trefoilpitch.ledger._bills import Bill


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkspaceTotal:
    """What one workspace owes."""

    # The workspace that pays.
    workspace: str
    # Number of bills.
    requests: int
    # In billionths of the accounting currency.
    cost_nano: int


def deduplicate_bills(bills: Iterable[Bill]) -> tuple[Bill, ...]:
    """Returns one bill for each request.

    A request has two bills when a segment and a peer's copy of it are both
    written, or when delivery of its response was resumed on another node. A
    bill for a complete response takes precedence over one for a partial
    response, and a cheaper bill over a more expensive one, so that work caused
    by a fault is not charged. The result does not depend on the order of the
    bills.
    """
    deduplicated: dict[str, Bill] = {}
    for bill in bills:
        current = deduplicated.get(bill.request_id)
        if current is None or _preference(bill) < _preference(current):
            deduplicated[bill.request_id] = bill
    return tuple(deduplicated[key] for key in sorted(deduplicated))


def total_by_workspace(bills: Iterable[Bill]) -> tuple[WorkspaceTotal, ...]:
    """Returns the totals of deduplicated bills, sorted by workspace name."""
    grouped: dict[str, list[Bill]] = {}
    for bill in bills:
        grouped.setdefault(bill.workspace, []).append(bill)
    return tuple(
        WorkspaceTotal(
            workspace=workspace,
            requests=len(grouped[workspace]),
            cost_nano=sum(bill.cost_nano for bill in grouped[workspace]),
        )
        for workspace in sorted(grouped)
    )


def _preference(bill: Bill) -> tuple[bool, int, Bill]:
    return (not bill.is_whole, bill.cost_nano, bill)
