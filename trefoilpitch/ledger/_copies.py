"""Copies of bills that the store does not have yet, held by another node.

A node sends its bills to one peer, the holder, in another failure domain.
Bills recorded while a batch is in flight go into the next one, so that there
is at most one batch per round trip. A bill survives the end of its node's
process once the holder or the store has it: when a process has ended, the
holder writes the copies that it has as bills of its own.
"""

from __future__ import annotations

import dataclasses
from collections import OrderedDict
from collections.abc import Collection

import msgspec
import xxhash
from returns.result import Success

from trefoilpitch.ledger._bills import Bill
from trefoilpitch.ledger._segments import decode_segment, encode_segment
from trefoilpitch.membership import Member, MembershipView, MemberState
from trefoilpitch.peering import PayloadKind

# A batch that was not acknowledged within this time is sent again.
_RESEND_AFTER_MS = 500
# A holder that leaves copies unacknowledged for this long is replaced.
_ACK_TIMEOUT_MS = 150

_BATCH_BYTES = 32 * 1024


class BillCopies(msgspec.Struct, frozen=True, array_like=True):
    """A batch of bills, sent to the holder."""

    # Number of the first bill of the batch; numbers start at 1.
    first: int
    # The encoded bills, in the order of their numbers.
    bills: tuple[bytes, ...]
    # Every bill up to this number is in the store.
    stored_upto: int


class CopyAck(msgspec.Struct, frozen=True, array_like=True):
    """The holder's acknowledgement of bills."""

    # The holder has every bill up to this number.
    upto: int


COPY_PAYLOAD_KINDS = (
    PayloadKind("ledger.copies", BillCopies),
    PayloadKind("ledger.ack", CopyAck),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """The process that holds copies of this node's bills."""

    # Its peer address.
    address: str
    # Copies are lost with the incarnation, so a later one is another holder.
    incarnation: str


def choose_holder(
    view: MembershipView, avoided: Collection[Holder] = ()
) -> Holder | None:
    """Returns the peer to hold copies; None if there is no other node.

    Peers in other failure domains are preferred, so that the loss of one
    failure domain does not lose both a bill and its copy.

    Args:
        view: The members to choose from.
        avoided: Peers that are chosen only if there is no other.
    """
    own = view.own
    others = [
        member
        for member in view.members
        if member.name != view.own_name and member.is_eligible
    ]
    if not others:
        return None

    def rank(member: Member) -> tuple[bool, bool, int]:
        is_not_avoided = _holder_of(member) not in avoided
        is_other_domain = member.failure_domain != own.failure_domain
        pair = f"{own.name}\0{member.name}".encode()
        return is_not_avoided, is_other_domain, xxhash.xxh64_intdigest(pair)

    return _holder_of(max(others, key=rank))


def _holder_of(member: Member) -> Holder:
    return Holder(member.endpoints.peer_address, member.incarnation)


class CopySender:
    """The sender of the copies; performs no I/O."""

    def __init__(self) -> None:
        self._unstored: OrderedDict[int, bytes] = OrderedDict()
        self._last = 0
        self._stored = 0
        self._sent_stored_upto = 0
        self._acked = 0
        self._sent_ms: int | None = None
        # When the first batch since the last acknowledgement was sent.
        self._ack_pending_since_ms: int | None = None
        self._holder: Holder | None = None

    @property
    def holder(self) -> Holder | None:
        """The current holder; None if there is none."""
        return self._holder

    def record(self, bill: Bill) -> int:
        """Adds a bill to be copied and returns its number."""
        self._last += 1
        self._unstored[self._last] = encode_segment((bill,))
        return self._last

    def set_holder(self, holder: Holder | None) -> None:
        """Changes the holder; a new one is sent every unstored bill."""
        if holder == self._holder:
            return
        self._holder = holder
        self._acked = self._stored
        self._sent_ms = None
        self._ack_pending_since_ms = None

    def is_ack_overdue(self, now_ms: int) -> bool:
        """Returns whether the holder has not acknowledged copies in time."""
        if self._ack_pending_since_ms is None or self.is_all_protected:
            return False
        return now_ms - self._ack_pending_since_ms >= _ACK_TIMEOUT_MS

    def record_stored(self, upto: int) -> None:
        """Records that the store has every bill up to a number."""
        self._stored = max(self._stored, upto)
        while self._unstored and next(iter(self._unstored)) <= upto:
            self._unstored.popitem(last=False)

    def record_ack(self, ack: CopyAck, holder: Holder) -> None:
        """Records an acknowledgement; one from a former holder is ignored."""
        if holder != self._holder:
            return
        self._acked = max(self._acked, min(ack.upto, self._last))
        self._sent_ms = None
        self._ack_pending_since_ms = None

    def is_protected(self, number: int) -> bool:
        """Returns whether a bill survives the end of this process."""
        return number <= max(self._acked, self._stored)

    @property
    def is_all_protected(self) -> bool:
        """Whether every bill survives the end of this process."""
        return self.is_protected(self._last)

    def due(self, now_ms: int) -> BillCopies | None:
        """Returns the batch to send now, if any."""
        if self._holder is None:
            return None
        if self._sent_ms is not None and (
            now_ms - self._sent_ms < _RESEND_AFTER_MS
        ):
            return None
        batch = self._next_batch()
        if batch is None:
            return None
        if batch.bills:
            self._sent_ms = now_ms
            if self._ack_pending_since_ms is None:
                self._ack_pending_since_ms = now_ms
        self._sent_stored_upto = batch.stored_upto
        return batch

    def _next_batch(self) -> BillCopies | None:
        first = max(self._acked, self._stored) + 1
        bills: list[bytes] = []
        size = 0
        for number in range(first, self._last + 1):
            size += len(self._unstored[number])
            if bills and size > _BATCH_BYTES:
                break
            bills.append(self._unstored[number])
        if not bills and self._sent_stored_upto == self._stored:
            return None
        return BillCopies(first, tuple(bills), self._stored)


class CopyHolder:
    """The receiver of the copies; performs no I/O."""

    def __init__(self) -> None:
        self._held: dict[str, OrderedDict[int, bytes]] = {}

    @property
    def held_bytes(self) -> int:
        """Total size of all copies."""
        return sum(
            len(copy)
            for copies in self._held.values()
            for copy in copies.values()
        )

    def receive(self, owner: str, batch: BillCopies) -> CopyAck | None:
        """Applies a batch from an incarnation; returns the reply, if any."""
        copies = self._held.setdefault(owner, OrderedDict())
        for number, copy in enumerate(batch.bills, batch.first):
            copies[number] = copy
        for number in [
            stored for stored in copies if stored <= batch.stored_upto
        ]:
            del copies[number]
        if not batch.bills:
            return None
        return CopyAck(batch.first + len(batch.bills) - 1)

    def claim_orphans(self, view: MembershipView) -> tuple[Bill, ...]:
        """Removes and returns the bills of incarnations that are gone."""
        claimed: list[Bill] = []
        for owner in list(self._held):
            if _is_gone(owner, view):
                for copy in self._held.pop(owner).values():
                    claimed.extend(_decode(copy))
        return tuple(claimed)


def _is_gone(incarnation: str, view: MembershipView) -> bool:
    for member in view.members:
        if member.incarnation == incarnation:
            return member.state is MemberState.GONE
    return True


def _decode(copy: bytes) -> tuple[Bill, ...]:
    decoded = decode_segment(copy)
    return decoded.unwrap() if isinstance(decoded, Success) else ()
