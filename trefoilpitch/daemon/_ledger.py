"""Writes bills to the store."""

from __future__ import annotations

import threading

import logbook
import pykka
from returns.result import Success

from trefoilpitch.clock import Clock
from trefoilpitch.ledger import Bill, Segment, SegmentWriter
from trefoilpitch.metrics import Metrics
from trefoilpitch.store import ABSENT, ConflictError, KeyValueStore
from trefoilpitch.supervision import Tick

LEDGER_TICK_MS = 200

_LOG = logbook.Logger("trefoilpitch.ledger")


class Ledger:
    """Collects bills from many threads.

    Args:
        writer: Decides what is written when.
        clock: Tells the time.
        metrics: Counts bills.
    """

    def __init__(
        self, writer: SegmentWriter, clock: Clock, metrics: Metrics
    ) -> None:
        self._writer = writer
        self._clock = clock
        self._metrics = metrics
        self._is_failing = False
        self._lock = threading.Lock()

    @property
    def is_failing(self) -> bool:
        """Whether the store did not take the last segment offered to it."""
        return self._is_failing

    @property
    def unwritten_bytes(self) -> int:
        """Bytes of bills that the store is not known to have."""
        with self._lock:
            return self._writer.unwritten_bytes

    def record(self, bill: Bill) -> None:
        """Takes a bill; it is written to the store in time."""
        with self._lock:
            self._writer.record(bill, self._clock.now_ms())
        self._metrics.count("bills")

    def accepts_work(self) -> bool:
        """Returns whether the bills of new requests could be held."""
        with self._lock:
            return not self._writer.is_full

    def is_empty(self) -> bool:
        """Returns whether the store is known to have every bill."""
        with self._lock:
            return self._writer.is_empty

    def due(self, *, flush: bool = False) -> tuple[Segment, ...]:
        """Returns the segments to write now."""
        with self._lock:
            return self._writer.due(self._clock.now_ms(), flush=flush)

    def written(self, key: str) -> None:
        """Records that the store has a segment."""
        with self._lock:
            self._writer.written(key)
            self._is_failing = False

    def write_failed(self) -> None:
        """Records that a write failed or that its outcome is unknown."""
        with self._lock:
            self._writer.write_failed(self._clock.now_ms())
            self._is_failing = True


def write_due_segments(
    ledger: Ledger, store: KeyValueStore, metrics: Metrics, *, flush: bool
) -> bool:
    """Writes what is due; returns whether the store took all of it.

    A conflict means that the store has the segment: an earlier write took
    effect and its reply was lost.
    """
    for segment in ledger.due(flush=flush):
        result = store.put_if(segment.key, segment.payload, ABSENT)
        is_written = isinstance(result, Success) or isinstance(
            result.failure(), ConflictError
        )
        if not is_written:
            metrics.count("ledger_write_failures")
            ledger.write_failed()
            return False
        metrics.count("ledger_segments")
        ledger.written(segment.key)
    return True


class LedgerActor(pykka.ThreadingActor):
    """Writes segments on each tick.

    Args:
        ledger: The collected bills.
        store: Where they go.
        metrics: Counts segments and failures.
    """

    def __init__(
        self, ledger: Ledger, store: KeyValueStore, metrics: Metrics
    ) -> None:
        super().__init__()
        self._ledger = ledger
        self._store = store
        self._metrics = metrics
        self._is_failing = False

    def on_receive(self, message: object) -> None:
        """Writes what is due."""
        if not isinstance(message, Tick):
            return
        write_due_segments(
            self._ledger, self._store, self._metrics, flush=False
        )
        self._note_state(is_failing=self._ledger.is_failing)
        unwritten = float(self._ledger.unwritten_bytes)
        self._metrics.set_gauge("ledger_unwritten_bytes", unwritten)

    def _note_state(self, *, is_failing: bool) -> None:
        if is_failing == self._is_failing:
            return
        self._is_failing = is_failing
        if is_failing:
            _LOG.warning("the store does not take bills; holding them")
        else:
            _LOG.info("the store takes bills again")
