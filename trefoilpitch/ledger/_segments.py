"""Writes bills to the store in create-only segments.

Bills are appended to an open segment, which is sealed at a size or age limit.
A sealed segment keeps its key and its bytes until the store has it, so that
writing it again after a lost response has no effect. Until the store has a
bill, a peer holds a copy of it; see :mod:`trefoilpitch.ledger._copies`.
"""

from __future__ import annotations

import dataclasses
from collections import OrderedDict

import msgspec
from returns.result import Failure, Result, Success

from trefoilpitch.ledger._bills import Bill
from trefoilpitch.ledger._exceptions import (
    DamagedSegmentError,
    LedgerFullError,
)

LEDGER_PREFIX = "ledger/"
SEAL_AFTER_MS = 1_000
SEAL_AT_BYTES = 256 * 1024
MAX_UNWRITTEN_BYTES = 24 * 1024 * 1024

_FORMAT_VERSION = 1
_NUMBER_DIGITS = 9
_RETRY_DELAY_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Segment:
    """Bills that are written to the store together."""

    # The store key; never reused for another payload.
    key: str
    # The bills as ``encode_segment`` encodes them.
    payload: bytes
    # Number of the last bill in the segment; the writer numbers bills from 1.
    last_bill: int


@dataclasses.dataclass(frozen=True, slots=True)
class _EncodedSegment:
    format_version: int
    bills: tuple[Bill, ...]


def encode_segment(bills: tuple[Bill, ...]) -> bytes:
    """Returns the bytes in which the store holds the bills."""
    return msgspec.msgpack.encode(_EncodedSegment(_FORMAT_VERSION, bills))


def decode_segment(
    payload: bytes,
) -> Result[tuple[Bill, ...], DamagedSegmentError]:
    """Decodes the payload of a segment."""
    try:
        encoded = msgspec.msgpack.decode(payload, type=_EncodedSegment)
    except msgspec.DecodeError as error:
        return Failure(DamagedSegmentError(str(error)))
    if encoded.format_version != _FORMAT_VERSION:
        message = f"unknown format version {encoded.format_version}"
        return Failure(DamagedSegmentError(message))
    return Success(encoded.bills)


class SegmentWriter:
    """Decides what to write to the store and when; performs no I/O.

    The caller polls :meth:`due`, writes the returned segments with create-only
    puts, and reports the outcome of each write.

    Args:
        owner: The incarnation that writes; part of each segment key.
        max_unwritten_bytes: Limit on the bills held while the store is
            unreachable.
    """

    def __init__(
        self,
        owner: str,
        max_unwritten_bytes: int = MAX_UNWRITTEN_BYTES,
    ) -> None:
        self._owner = owner
        self._max_unwritten_bytes = max_unwritten_bytes
        self._open_bills: list[Bill] = []
        self._open_bytes = 0
        self._opened_ms = 0
        self._sealed: OrderedDict[str, Segment] = OrderedDict()
        self._bill_count = 0
        self._sealed_bytes = 0
        self._next_number = 0
        self._retry_at_ms = 0

    @property
    def unwritten_bytes(self) -> int:
        """Bytes of bills whose write has not been confirmed."""
        return self._open_bytes + self._sealed_bytes

    @property
    def is_full(self) -> bool:
        """Whether the limit is reached.

        No new work may be admitted until the store accepts bills again.
        """
        return self.unwritten_bytes >= self._max_unwritten_bytes

    @property
    def is_empty(self) -> bool:
        """Whether the write of every bill has been confirmed."""
        return not self._open_bills and not self._sealed

    def record(self, bill: Bill, now_ms: int) -> Result[None, LedgerFullError]:
        """Adds a bill to the open segment.

        The bill is added even when the writer is full, because the request has
        already run; the error means that no more requests may be admitted.
        """
        if not self._open_bills:
            self._opened_ms = now_ms
        self._open_bills.append(bill)
        self._bill_count += 1
        self._open_bytes += len(msgspec.msgpack.encode(bill))
        if self._open_bytes >= SEAL_AT_BYTES:
            self._seal()
        if self.is_full:
            held = self.unwritten_bytes
            return Failure(
                LedgerFullError(f"{held} bytes of bills are not written yet")
            )
        return Success(None)

    def due(self, now_ms: int, *, flush: bool = False) -> tuple[Segment, ...]:
        """Returns the segments to write now, oldest first.

        Args:
            now_ms: The current time.
            flush: Whether to seal the open segment now and ignore the delay
                after a failed write.
        """
        is_old = now_ms - self._opened_ms >= SEAL_AFTER_MS
        if self._open_bills and (is_old or flush):
            self._seal()
        if now_ms < self._retry_at_ms and not flush:
            return ()
        return tuple(self._sealed.values())

    def record_written(self, key: str) -> None:
        """Records that the store has a segment."""
        segment = self._sealed.pop(key, None)
        if segment is not None:
            self._sealed_bytes -= len(segment.payload)

    def record_write_failure(self, now_ms: int) -> None:
        """Records that a write failed, or that its outcome is unknown."""
        self._retry_at_ms = now_ms + _RETRY_DELAY_MS

    def _seal(self) -> None:
        payload = encode_segment(tuple(self._open_bills))
        number = str(self._next_number).zfill(_NUMBER_DIGITS)
        key = f"{LEDGER_PREFIX}{self._owner}/{number}"
        self._sealed[key] = Segment(
            key=key, payload=payload, last_bill=self._bill_count
        )
        self._sealed_bytes += len(payload)
        self._next_number += 1
        self._open_bills = []
        self._open_bytes = 0
