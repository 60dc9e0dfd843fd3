"""What a view adopts at once from a store restored from an older copy.

Load pattern: the store comes back with a state that is some seconds old while
requests are running. Its operators, upstreams and daemons write again what it
lacks, each within a known time.
"""

from __future__ import annotations

import dataclasses

from trefoilpitch.fleet._store import Document, Evacuation, Item
from trefoilpitch.fleet._types import Member, UpstreamEntry, UpstreamState

# How long a view keeps what the store lacks: operators and upstreams write
# their entries again within two seconds.
_REWRITE_GRACE_MS = 3_000
# The same for daemons, which renew their leases every eight seconds.
_MEMBER_REWRITE_GRACE_MS = 12_000
# How long an upstream that had been removed, but is in the restored copy, is
# left out: the store removes the entry of one that is gone sooner.
_REMOVED_UPSTREAM_GRACE_MS = 5_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeferredItem:
    """A key's state in a restored store, adopted unless it is written first."""

    # None if the store lacks the key.
    item: Item | None
    # Monotonic time of the adoption.
    due_ms: int


def adoption_delay_ms(known: Document | None, listed: Document | None) -> int:
    """Returns how long a key keeps its state in a view.

    Args:
        known: The key's document in the view; None if it has none.
        listed: Its document in the restored store; None if it has none.
    """
    if listed is not None and _takes_out_of_service(listed):
        return 0
    if isinstance(known, Member):
        return _MEMBER_REWRITE_GRACE_MS
    if known is not None:
        return _REWRITE_GRACE_MS
    if isinstance(listed, UpstreamEntry):
        # It may have left since the copy was made.
        return _REMOVED_UPSTREAM_GRACE_MS
    return 0


def _takes_out_of_service(document: Document) -> bool:
    match document:
        case UpstreamEntry() as entry:
            return entry.state is UpstreamState.DRAINING
        case Evacuation():
            return True
        case _:
            return False
