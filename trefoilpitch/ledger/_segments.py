"""Writes bills to the store in create-only segments.

Bills collect in an open segment, which is sealed once it is large or old
enough. A sealed segment keeps its key and its bytes until the store has it, so
writing it again after a lost reply changes nothing. Copies of the bills that
the store does not have yet are held by peers; see
:mod:`trefoilpitch.ledger._copies`.
"""

from __future__ import annotations

import dataclasses
from collections import OrderedDict

import msgspec
from returns.result import Failure, Result, Success

from trefoilpitch.ledger._exceptions import (
    DamagedSegmentError,
    LedgerFullError,
)
from trefoilpitch.ledger._nodes import Bill

LEDGER_PREFIX = "ledger/"
SEAL_AFTER_MS = 1_000
SEAL_AT_BYTES = 256 * 1024
MAX_UNWRITTEN_BYTES = 24 * 1024 * 1024

_FORMAT_VERSION = 1
_NUMBER_DIGITS = 9
_RETRY_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Segment:
    """Bills that are written to the store together."""

    # The store key, never used for other bytes.
    key: str
    # The encoded bills.
    payload: bytes
    # Number of the last bill in it; the writer counts bills from 1.
    last_bill: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Encoded:
    format_version: int
    bills: tuple[Bill, ...]


def encode_segment(bills: tuple[Bill, ...]) -> bytes:
    """Returns the bytes that stand for bills in the store."""
    return msgspec.msgpack.encode(_Encoded(_FORMAT_VERSION, bills))


def decode_segment(
    payload: bytes,
) -> Result[tuple[Bill, ...], DamagedSegmentError]:
    """Reads the bills of a segment."""
    try:
        encoded = msgspec.msgpack.decode(payload, type=_Encoded)
    except msgspec.DecodeError as error:
        return Failure(DamagedSegmentError(str(error)))
    if encoded.format_version != _FORMAT_VERSION:
        message = f"format version {encoded.format_version} is not known"
        return Failure(DamagedSegmentError(message))
    return Success(encoded.bills)


class SegmentWriter:
    """Decides what to write to the store and when; does no input or output.

    The owner calls :meth:`due` regularly, writes the segments that it
    returns with a create-only put, and reports how each one went.

    Args:
        owner: Names the writer in segment keys; one incarnation.
        max_unwritten_bytes: Bills to hold while the store is unreachable.
    """

    def __init__(
        self,
        owner: str,
        max_unwritten_bytes: int = MAX_UNWRITTEN_BYTES,
    ) -> None:
        self._owner = owner
        self._max_unwritten_bytes = max_unwritten_bytes
        self._open: list[Bill] = []
        self._open_bytes = 0
        self._opened_ms = 0
        self._sealed: OrderedDict[str, Segment] = OrderedDict()
        self._bills = 0
        self._sealed_bytes = 0
        self._next_number = 0
        self._retry_at_ms = 0

    @property
    def unwritten_bytes(self) -> int:
        """Bytes of bills that the store is not known to have."""
        return self._open_bytes + self._sealed_bytes

    @property
    def is_full(self) -> bool:
        """Whether new work must wait until the store takes bills again."""
        return self.unwritten_bytes >= self._max_unwritten_bytes

    @property
    def is_empty(self) -> bool:
        """Whether the store is known to have every bill."""
        return not self._open and not self._sealed

    def record(self, bill: Bill, now_ms: int) -> Result[None, LedgerFullError]:
        """Adds a bill to the open segment.

        The bill of a request that ran is added even when the writer is full;
        the error tells the owner to admit no more requests.
        """
        if not self._open:
            self._opened_ms = now_ms
        self._open.append(bill)
        self._bills += 1
        self._open_bytes += len(msgspec.msgpack.encode(bill))
        if self._open_bytes >= SEAL_AT_BYTES:
            self._seal()
        if self.is_full:
            held = self.unwritten_bytes
            return Failure(LedgerFullError(f"{held} bytes are unwritten"))
        return Success(None)

    def due(self, now_ms: int, *, flush: bool = False) -> tuple[Segment, ...]:
        """Returns the segments to write now, oldest first.

        Args:
            now_ms: The present time.
            flush: Whether to write at once what would otherwise wait.
        """
        is_old = now_ms - self._opened_ms >= SEAL_AFTER_MS
        if self._open and (is_old or flush):
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
        self._retry_at_ms = now_ms + _RETRY_MS

    def _seal(self) -> None:
        payload = encode_segment(tuple(self._open))
        number = str(self._next_number).zfill(_NUMBER_DIGITS)
        key = f"{LEDGER_PREFIX}{self._owner}/{number}"
        self._sealed[key] = Segment(
            key=key, payload=payload, last_bill=self._bills
        )
        self._sealed_bytes += len(payload)
        self._next_number += 1
        self._open = []
        self._open_bytes = 0
