"""Copies of bills that the store does not have yet, held by another node.

The home of a bill sends it to one peer, its holder, in another failure domain.
Bills that arrive while a batch is on its way go into the next one, so that
there are never more batches than round trips. Once the holder has a bill, or
the store, the bill survives the end of its home: the holder writes the bills
of a home that is gone as its own.
"""

from __future__ import annotations

import dataclasses
from collections import OrderedDict
from collections.abc import Collection

import msgspec
import xxhash
from returns.result import Success

from trefoilpitch.ledger._nodes import Bill
from trefoilpitch.ledger._segments import decode_segment, encode_segment
from trefoilpitch.membership import Member, MembershipView, MemberState
from trefoilpitch.peering import PayloadKind

RESEND_AFTER_MS = 500
# How long a holder may take to confirm copies before another one is chosen.
SILENT_AFTER_MS = 150

_BATCH_BYTES = 32 * 1024


class BillCopies(msgspec.Struct, frozen=True, array_like=True):
    """Bills on their way to their holder."""

    # Number of the first bill of the batch, from 1.
    first: int
    # The encoded bills, in the order of their numbers.
    bills: tuple[bytes, ...]
    # Every bill up to this number is in the store.
    stored_upto: int


class CopyAck(msgspec.Struct, frozen=True, array_like=True):
    """The holder has every bill up to a number."""

    # The number.
    upto: int


COPY_PAYLOAD_KINDS = (
    PayloadKind("ledger.copies", BillCopies),
    PayloadKind("ledger.ack", CopyAck),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """The process that holds copies of this node's bills."""

    # Where it receives messages.
    address: str
    # Its incarnation; another one has no copies.
    incarnation: str


def choose_holder(
    view: MembershipView, avoided: Collection[Holder] = ()
) -> Holder | None:
    """Returns the peer to hold copies, None where there is no other node.

    Peers in other failure domains come first, so that the loss of a failure
    domain never takes both a bill and its copy.

    Args:
        view: The fleet.
        avoided: Peers to be chosen only where there is no other.
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
        is_welcome = _holder_of(member) not in avoided
        is_far = member.failure_domain != own.failure_domain
        pair = f"{own.name}\0{member.name}".encode()
        return is_welcome, is_far, xxhash.xxh64_intdigest(pair)

    return _holder_of(max(others, key=rank))


def _holder_of(member: Member) -> Holder:
    return Holder(member.endpoints.peer_address, member.incarnation)


class CopySender:
    """The home's side; does no input or output."""

    def __init__(self) -> None:
        self._unstored: OrderedDict[int, bytes] = OrderedDict()
        self._last = 0
        self._stored = 0
        self._told_stored = 0
        self._acked = 0
        self._sent_ms: int | None = None
        # Since when the holder owes a confirmation.
        self._owed_ms: int | None = None
        self._holder: Holder | None = None

    @property
    def holder(self) -> Holder | None:
        """The process that holds the copies."""
        return self._holder

    def record(self, bill: Bill) -> int:
        """Takes a bill and returns its number."""
        self._last += 1
        self._unstored[self._last] = encode_segment((bill,))
        return self._last

    def set_holder(self, holder: Holder | None) -> None:
        """Changes the holder; a new one gets everything anew."""
        if holder == self._holder:
            return
        self._holder = holder
        self._acked = self._stored
        self._sent_ms = None
        self._owed_ms = None

    def is_ack_overdue(self, now_ms: int) -> bool:
        """Returns whether the holder should have confirmed copies by now."""
        if self._owed_ms is None or self.is_all_protected:
            return False
        return now_ms - self._owed_ms >= SILENT_AFTER_MS

    def record_stored(self, upto: int) -> None:
        """Records that the store has every bill up to a number."""
        self._stored = max(self._stored, upto)
        while self._unstored and next(iter(self._unstored)) <= upto:
            self._unstored.popitem(last=False)

    def record_ack(self, ack: CopyAck, holder: Holder) -> None:
        """Records that the holder has every bill up to a number."""
        if holder != self._holder:
            return
        self._acked = max(self._acked, min(ack.upto, self._last))
        self._sent_ms = None
        self._owed_ms = None

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
            now_ms - self._sent_ms < RESEND_AFTER_MS
        ):
            return None
        batch = self._batch()
        if batch is None:
            return None
        if batch.bills:
            self._sent_ms = now_ms
            if self._owed_ms is None:
                self._owed_ms = now_ms
        self._told_stored = batch.stored_upto
        return batch

    def _batch(self) -> BillCopies | None:
        first = max(self._acked, self._stored) + 1
        bills: list[bytes] = []
        size = 0
        for number in range(first, self._last + 1):
            size += len(self._unstored[number])
            if bills and size > _BATCH_BYTES:
                break
            bills.append(self._unstored[number])
        if not bills and self._told_stored == self._stored:
            return None
        return BillCopies(first, tuple(bills), self._stored)


class CopyHolder:
    """The holder's side; does no input or output."""

    def __init__(self) -> None:
        self._held: dict[str, OrderedDict[int, bytes]] = {}

    @property
    def held_bytes(self) -> int:
        """Bytes of all copies."""
        return sum(
            len(copy)
            for copies in self._held.values()
            for copy in copies.values()
        )

    def receive(self, owner: str, batch: BillCopies) -> CopyAck | None:
        """Takes in a batch of an incarnation; returns what to answer."""
        copies = self._held.setdefault(owner, OrderedDict())
        for number, copy in enumerate(batch.bills, batch.first):
            copies[number] = copy
        for number in [one for one in copies if one <= batch.stored_upto]:
            del copies[number]
        if not batch.bills:
            return None
        return CopyAck(batch.first + len(batch.bills) - 1)

    def claim_orphans(self, view: MembershipView) -> tuple[Bill, ...]:
        """Returns the bills of homes that are gone, and drops the copies."""
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
