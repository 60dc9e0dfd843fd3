"""Reads bills from the store, one page of segments at a time."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from trefoilpitch.administration._problems import store_problem
from trefoilpitch.administration._responses import LedgerPage
from trefoilpitch.ledger import LEDGER_PREFIX, Bill, decode_segment
from trefoilpitch.store import Entry, KeyValueStore
from trefoilpitch.web import Problem

# A segment has at most 256 KiB, so a page reads at most 4 MiB.
_SEGMENTS_PER_PAGE = 16


def read_ledger_page(
    store: KeyValueStore, after: str
) -> Result[LedgerPage, Problem]:
    """Returns the bills of one page of segments, duplicates included.

    Args:
        store: Contains the segments.
        after: Key of the segment after which the page starts; empty for the
            first page.
    """
    listed = store.list_page(LEDGER_PREFIX, after, _SEGMENTS_PER_PAGE)
    if not isinstance(listed, Success):
        return Failure(store_problem(listed.failure().detail))
    entries = listed.unwrap().entries
    bills: list[Bill] = []
    for entry in entries:
        decoded = _decode_entry(entry)
        if not isinstance(decoded, Success):
            return Failure(decoded.failure())
        bills.extend(decoded.unwrap())
    is_last = len(entries) < _SEGMENTS_PER_PAGE
    next_after = "" if is_last else entries[-1].key
    return Success(LedgerPage(bills=tuple(bills), next_after=next_after))


def _decode_entry(entry: Entry) -> Result[tuple[Bill, ...], Problem]:
    return decode_segment(entry.value).alt(
        lambda error: Problem(
            status=500,
            code="damaged-segment",
            title=f"segment {entry.key} is damaged",
            detail=str(error),
        )
    )
