"""Protects bills: copies them to a peer, then writes segments to the store."""

from __future__ import annotations

import threading
from collections.abc import Callable

import logbook
import pykka
from returns.result import Success

from trefoilpitch.clock import Clock
from trefoilpitch.ledger import (
    Bill,
    BillCopies,
    CopyAck,
    CopyHolder,
    CopySender,
    Holder,
    Segment,
    SegmentWriter,
    choose_holder,
)
from trefoilpitch.membership import MembershipView
from trefoilpitch.metrics import Metrics
from trefoilpitch.peering import PeerTransport, ReceivedMessage
from trefoilpitch.serving import Waiter
from trefoilpitch.store import ABSENT, ConflictError, KeyValueStore
from trefoilpitch.supervision import Tick

LEDGER_TICK_MS = 200

# How long the end of a response may wait until its bill is copied.
_PROTECT_TIMEOUT_MS = 250
_PROTECT_POLL_MS = 50
# How long a holder that did not acknowledge copies is not chosen again.
_AVOID_HOLDER_MS = 30_000

_LOG = logbook.Logger("trefoilpitch.ledger")


class Ledger:
    """Collects bills; thread-safe.

    Args:
        writer: Groups bills into segments and schedules their writes.
        clock: Times writes, copies and waits.
        metrics: Counts bills.
        transport: Sends copies and acknowledgements.
        waiter: Blocks the end of a response until its bill is copied.
    """

    def __init__(
        self,
        writer: SegmentWriter,
        *,
        clock: Clock,
        metrics: Metrics,
        transport: PeerTransport,
        waiter: Waiter,
    ) -> None:
        self._writer = writer
        self._clock = clock
        self._metrics = metrics
        self._transport = transport
        self._waiter = waiter
        self._sender = CopySender()
        self._holder = CopyHolder()
        self._view: MembershipView | None = None
        # Until when unresponsive holders are not chosen again.
        self._avoided_until_ms: dict[Holder, int] = {}
        self._changed = threading.Condition()

    @property
    def unwritten_bytes(self) -> int:
        """Bytes of own bills without a confirmed write to the store."""
        with self._changed:
            return self._writer.unwritten_bytes

    @property
    def held_bytes(self) -> int:
        """Bytes of the copies that this node holds for other nodes."""
        with self._changed:
            return self._holder.held_bytes

    @property
    def copy_holder(self) -> Holder | None:
        """The process that holds copies of own bills; None if there is none."""
        with self._changed:
            return self._sender.holder

    @property
    def is_all_protected(self) -> bool:
        """Whether every bill would survive the exit of this process."""
        with self._changed:
            return self._sender.is_all_protected

    def record(self, bill: Bill) -> None:
        """Records a bill and waits briefly until it would survive a crash."""
        with self._changed:
            number = self._add(bill)
            self._send_copies()
            until_ms = self._clock.now_ms() + _PROTECT_TIMEOUT_MS
            while self._must_wait(number):
                if self._clock.now_ms() >= until_ms:
                    self._metrics.count("bills_unprotected")
                    break
                self._replace_silent_holder()
                self._waiter.wait(self._changed, _PROTECT_POLL_MS)
        self._metrics.count("bills")

    def accepts_work(self) -> bool:
        """Returns whether there is memory for the bills of new requests."""
        with self._changed:
            return not self._writer.is_full

    def due(self, *, flush: bool = False) -> tuple[Segment, ...]:
        """Returns the segments that are due to be written."""
        with self._changed:
            return self._writer.due(self._clock.now_ms(), flush=flush)

    def record_written(self, segment: Segment) -> None:
        """Records that a segment is in the store."""
        with self._changed:
            self._writer.record_written(segment.key)
            self._sender.record_stored(segment.last_bill)
            self._changed.notify_all()

    def record_write_failure(self) -> None:
        """Records that a write failed or that its outcome is unknown."""
        with self._changed:
            self._writer.record_write_failure(self._clock.now_ms())

    def observe_fleet(self, view: MembershipView) -> None:
        """Chooses the holder and adopts the bills of nodes that have ended."""
        with self._changed:
            self._view = view
            self._replace_silent_holder()
            self._choose_holder(view)
            orphans = self._holder.claim_orphans(view)
            for bill in orphans:
                self._add(bill)
            self._send_copies()
        if orphans:
            self._metrics.count("bills_adopted", by=len(orphans))

    def receive(self, message: ReceivedMessage) -> None:
        """Handles copies of a peer's bills, or an acknowledgement of copies."""
        payload = message.payload
        with self._changed:
            if isinstance(payload, CopyAck):
                source = Holder(message.address, message.incarnation)
                self._sender.record_ack(payload, source)
                self._send_copies()
                self._changed.notify_all()
                return
            assert isinstance(payload, BillCopies)
            ack = self._holder.receive(message.incarnation, payload)
        if ack is not None:
            self._transport.send(message.address, ack, urgent=True)

    def _add(self, bill: Bill) -> int:
        self._writer.record(bill, self._clock.now_ms())
        return self._sender.record(bill)

    def _must_wait(self, number: int) -> bool:
        if self._sender.holder is None:
            return False
        return not self._sender.is_protected(number)

    def _replace_silent_holder(self) -> None:
        now_ms = self._clock.now_ms()
        silent = self._sender.holder
        if silent is None or not self._sender.is_ack_overdue(now_ms):
            return
        self._metrics.count("silent_copy_holders")
        self._avoided_until_ms[silent] = now_ms + _AVOID_HOLDER_MS
        if self._view is not None:
            self._choose_holder(self._view)
            self._send_copies()

    def _choose_holder(self, view: MembershipView) -> None:
        now_ms = self._clock.now_ms()
        self._avoided_until_ms = {
            holder: until_ms
            for holder, until_ms in self._avoided_until_ms.items()
            if now_ms < until_ms
        }
        self._sender.set_holder(choose_holder(view, self._avoided_until_ms))

    def _send_copies(self) -> None:
        batch = self._sender.due(self._clock.now_ms())
        holder = self._sender.holder
        if batch is not None and holder is not None:
            self._transport.send(holder.address, batch, urgent=True)


def write_due_segments(
    ledger: Ledger, store: KeyValueStore, metrics: Metrics, *, flush: bool
) -> bool:
    """Writes the due segments; returns whether all writes succeeded.

    A conflict counts as success: an earlier write of the segment took effect,
    but its response was lost.
    """
    for segment in ledger.due(flush=flush):
        result = store.put_if(segment.key, segment.payload, ABSENT)
        is_written = isinstance(result, Success) or isinstance(
            result.failure(), ConflictError
        )
        if not is_written:
            metrics.count("ledger_write_failures")
            ledger.record_write_failure()
            return False
        metrics.count("ledger_segments")
        ledger.record_written(segment)
    return True


class LedgerActor(pykka.ThreadingActor):
    """Writes due segments and applies the membership view on each tick.

    Args:
        ledger: Supplies the segments.
        store: Receives the segments.
        view: Returns the latest membership view.
        metrics: Counts segments and failed writes.
    """

    def __init__(
        self,
        ledger: Ledger,
        store: KeyValueStore,
        view: Callable[[], MembershipView],
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._ledger = ledger
        self._store = store
        self._view = view
        self._metrics = metrics
        self._is_failing = False

    def on_receive(self, message: object) -> None:
        """Handles a tick or a peer's message."""
        if isinstance(message, ReceivedMessage):
            self._ledger.receive(message)
        elif isinstance(message, Tick):
            self._ledger.observe_fleet(self._view())
            self._write()

    def _write(self) -> None:
        if self._ledger.due():
            all_written = write_due_segments(
                self._ledger, self._store, self._metrics, flush=False
            )
            self._log_store_state(is_failing=not all_written)
        unwritten = float(self._ledger.unwritten_bytes)
        self._metrics.set_gauge("ledger_unwritten_bytes", unwritten)

    def _log_store_state(self, *, is_failing: bool) -> None:
        if is_failing == self._is_failing:
            return
        self._is_failing = is_failing
        if is_failing:
            _LOG.warning(
                "cannot write bills to the store; keeping them in memory"
            )
        else:
            _LOG.info("writing bills to the store succeeds again")
