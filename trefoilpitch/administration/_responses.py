"""Response bodies of the administration API, shared with its clients."""

from __future__ import annotations

import dataclasses

from trefoilpitch.bundle import Bundle
from trefoilpitch.ledger import Bill


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BundleResponse:
    """The bundle in force on the responding node."""

    # The configuration revision in force.
    revision: int
    # None before the first sign-off.
    bundle: Bundle | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HistoryEntry:
    """One accepted change."""

    # The revision that the change created.
    revision: int
    # Chosen by the client that sent the change.
    change_id: str
    # The operator, or the name of the nodes' own changes.
    author: str
    # The change as one line of text.
    description: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HistoryResponse:
    """The accepted changes that the head in the store still lists."""

    # Oldest first.
    changes: tuple[HistoryEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LedgerPage:
    """One page of the bills in the store.

    A request's bill may occur twice, on one page or on two; see
    :func:`trefoilpitch.ledger.deduplicate_bills`.
    """

    # As recorded, without deduplication.
    bills: tuple[Bill, ...]
    # Value of ``after`` for the next page; empty on the last page.
    next_after: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeResponse:
    """An accepted change."""

    # The revision that the change created.
    revision: int
    # Whether an earlier request with the same change id created it.
    is_repeated: bool
    # Whether a majority of the failure domains has confirmed the revision;
    # only then is the change final.
    is_confirmed: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DryRunResponse:
    """A change that is valid for the revision in force on the node."""

    # The revision that the change was validated against.
    revision: int
