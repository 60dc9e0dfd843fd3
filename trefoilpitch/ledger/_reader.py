"""Unites the bills of all segments, one bill a request."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from trefoilpitch.ledger._nodes import Bill


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkspaceTotal:
    """What one workspace owes."""

    # The workspace that pays.
    workspace: str
    # Requests that ran.
    requests: int
    # Cost in billionths of the accounting currency.
    cost_nano: int


def deduplicate_bills(bills: Iterable[Bill]) -> tuple[Bill, ...]:
    """Returns one bill for each request.

    A request is recorded twice when a segment and the copy of it that a peer
    held are both written, or when its answer was taken up again on another
    node. The bill of a whole answer counts before that of a partial one, and
    the cheaper one before the dearer, so that work which a fault caused is
    not charged; the choice does not depend on the order.
    """
    united: dict[str, Bill] = {}
    for bill in bills:
        known = united.get(bill.request_id)
        if known is None or _preference(bill) < _preference(known):
            united[bill.request_id] = bill
    return tuple(united[key] for key in sorted(united))


def total_by_workspace(bills: Iterable[Bill]) -> tuple[WorkspaceTotal, ...]:
    """Returns the totals of united bills, by workspace name."""
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
