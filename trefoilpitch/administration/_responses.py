"""What the administration API answers, for it and for its clients."""

from __future__ import annotations

import dataclasses

from trefoilpitch.bundle import Bundle
from trefoilpitch.ledger import Bill


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BundleResponse:
    """The bundle in force on the answering node."""

    # The revision in force.
    revision: int
    # The bundle; None before the first sign-off.
    bundle: Bundle | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HistoryEntry:
    """One accepted change."""

    # The revision that it made.
    revision: int
    # Chosen by whoever asked.
    change_id: str
    # Who asked.
    author: str
    # The change in words.
    description: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HistoryResponse:
    """The accepted changes that the store still lists, oldest first."""

    # The changes.
    changes: tuple[HistoryEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LedgerPage:
    """Some of the bills that the store holds.

    Bills of one request may come twice, on one page or on two; see
    :func:`trefoilpitch.ledger.unite_bills`.
    """

    # The bills, as they were recorded.
    bills: tuple[Bill, ...]
    # What to ask the next page with; empty after the last one.
    next_after: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeResponse:
    """An accepted change."""

    # The revision that it made.
    revision: int
    # Whether an earlier request with the same change id made it.
    is_repeated: bool
    # Whether most failure domains have heard of it; only then is it final.
    is_confirmed: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DryRunResponse:
    """A change that the revision in force on the answering node admits."""

    # The revision in force, unchanged.
    revision: int
