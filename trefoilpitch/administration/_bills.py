"""Reads the bills that the store holds."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from trefoilpitch.administration._problems import store_problem
from trefoilpitch.ledger import LEDGER_PREFIX, Bill, decode_segment
from trefoilpitch.store import KeyValueStore
from trefoilpitch.web import Problem


def read_bills(store: KeyValueStore) -> Result[list[Bill], Problem]:
    """Returns the bills of all segments; those of one request not united."""
    listed = store.list_prefix(LEDGER_PREFIX)
    if not isinstance(listed, Success):
        return Failure(store_problem(listed.failure().detail))
    bills: list[Bill] = []
    for entry in listed.unwrap().entries:
        decoded = decode_segment(entry.value)
        if not isinstance(decoded, Success):
            problem = Problem(
                status=500,
                code="damaged-segment",
                title=f"segment {entry.key} is damaged",
                detail=str(decoded.failure()),
            )
            return Failure(problem)
        bills.extend(decoded.unwrap())
    return Success(bills)
