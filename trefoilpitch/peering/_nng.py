"""The peer transport on pynng: one Pull0 listener and a Push0 per peer."""

from __future__ import annotations

import collections
import contextlib
import threading
from types import TracebackType
from typing import Self

import logbook
import pynng
from returns.result import Failure, Result, Success

from trefoilpitch.clock import Clock
from trefoilpitch.peering._codec import (
    FrameCodec,
    create_frame_codec,
)
from trefoilpitch.peering._counters import (
    CounterSet,
    DropReason,
    PeeringCounters,
)
from trefoilpitch.peering._dialer import Dialer, open_dialer
from trefoilpitch.peering._exceptions import (
    ListenFailedError,
    PeeringError,
    SendQueueFullError,
    TransportClosedError,
)
from trefoilpitch.peering._nng_settings import NngSettings
from trefoilpitch.peering._registry import PayloadRegistry
from trefoilpitch.peering._transport import (
    MessageHandler,
    PeerIdentity,
    PeerKeys,
)

_LOG = logbook.Logger("peering")
_RECEIVE_TIMEOUT_MS = 10_000
_JOIN_TIMEOUT_S = 5.0
_MS_PER_S = 1000


class NngTransport:
    """A ``PeerTransport`` over TCP; open it with ``open_nng_transport``.

    One thread receives frames and calls the handler; another flushes the send
    queues. The handler must not block, since it holds up the receiving thread.
    It should pass the message on, for example to an actor's queue.

    Args:
        clock: Measures how long messages have been queued.
        codec: Seals and opens frames.
        settings: Limits and intervals.
        handler: Called with each accepted message, on the receiving thread.
        listener: The listening socket; the transport takes ownership.
    """

    def __init__(
        self,
        clock: Clock,
        codec: FrameCodec,
        settings: NngSettings,
        handler: MessageHandler,
        listener: pynng.Pull0,
    ) -> None:
        self._clock = clock
        self._codec = codec
        self._settings = settings
        self._handler = handler
        self._listener = listener
        self._counters = CounterSet()
        self._dialers: collections.OrderedDict[str, Dialer] = (
            collections.OrderedDict()
        )
        self._condition = threading.Condition()
        self._is_urgent = False
        self._is_closed = False
        self._threads = (
            threading.Thread(target=self._receive_loop, name="peering-receive"),
            threading.Thread(target=self._flush_loop, name="peering-flush"),
        )
        for thread in self._threads:
            thread.daemon = True
            thread.start()

    @property
    def identity(self) -> PeerIdentity:
        """This process's identity, sent in every frame."""
        return self._codec.identity

    def send(
        self, address: str, payload: object, *, urgent: bool = False
    ) -> Result[None, PeeringError]:
        """Queues a payload for a peer; see ``PeerTransport.send``."""
        encoded = self._codec.encode(payload)
        if not isinstance(encoded, Success):
            return encoded.map(lambda _: None)
        with self._condition:
            if self._is_closed:
                return Failure(TransportClosedError("transport is closed"))
            dialer = self._get_dialer(address)
            if not isinstance(dialer, Success):
                return dialer.map(lambda _: None)
            message = encoded.unwrap()
            if not dialer.unwrap().enqueue(message, self._clock.now_ms()):
                self._counters.add_dropped(DropReason.QUEUE_FULL)
                return Failure(SendQueueFullError(address))
            self._is_urgent = self._is_urgent or urgent
            self._condition.notify()
        return Success(None)

    def disconnect(self, address: str) -> None:
        """Closes the dialer to a peer, discarding its queued messages."""
        with self._condition:
            dialer = self._dialers.pop(address, None)
            if dialer is not None:
                self._close_dialer(dialer)

    def counters(self) -> PeeringCounters:
        """Returns a snapshot of the transport's counters."""
        return self._counters.snapshot(dialers=len(self._dialers))

    def close(self) -> None:
        """Stops both threads, then sends what can be sent without waiting."""
        with self._condition:
            if self._is_closed:
                return
            self._is_closed = True
            self._condition.notify()
        self._listener.close()
        for thread in self._threads:
            if thread is not threading.current_thread():
                thread.join(_JOIN_TIMEOUT_S)
        with self._condition:
            self._flush()
            for dialer in self._dialers.values():
                self._close_dialer(dialer)
            self._dialers.clear()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def _get_dialer(self, address: str) -> Result[Dialer, PeeringError]:
        dialer = self._dialers.get(address)
        if dialer is not None:
            self._dialers.move_to_end(address)
            return Success(dialer)
        while len(self._dialers) >= self._settings.max_dialers:
            _, oldest = self._dialers.popitem(last=False)
            self._close_dialer(oldest)
        opened = open_dialer(
            address,
            queue_limit_bytes=self._settings.queue_limit_bytes,
            reconnect_min_ms=self._settings.reconnect_min_ms,
            reconnect_max_ms=self._settings.reconnect_max_ms,
        )
        if isinstance(opened, Success):
            self._dialers[address] = opened.unwrap()
        return opened

    def _close_dialer(self, dialer: Dialer) -> None:
        discarded = dialer.close()
        if discarded:
            self._counters.add_dropped(DropReason.PEER_CLOSED, discarded)

    def _flush_loop(self) -> None:
        interval_s = self._settings.flush_interval_ms / _MS_PER_S
        while True:
            with self._condition:
                if not self._is_urgent and not self._is_closed:
                    self._condition.wait_for(
                        lambda: self._is_urgent or self._is_closed, interval_s
                    )
                self._is_urgent = False
                if self._is_closed:
                    return
                self._flush()
                if not any(d.has_queued for d in self._dialers.values()):
                    self._condition.wait_for(self._has_messages_or_is_closed)

    def _has_messages_or_is_closed(self) -> bool:
        return self._is_closed or any(
            dialer.has_queued for dialer in self._dialers.values()
        )

    def _flush(self) -> None:
        oldest_ms = self._clock.now_ms() - self._settings.queue_age_limit_ms
        for address, dialer in self._dialers.items():
            expired = dialer.expire(oldest_ms)
            if expired:
                self._counters.add_dropped(DropReason.EXPIRED, expired)
            self._flush_dialer(address, dialer)

    def _flush_dialer(self, address: str, dialer: Dialer) -> None:
        while batch := dialer.peek(self._codec.message_limit_bytes):
            frame = self._codec.seal(address, batch)
            if not dialer.try_send(frame):
                return
            dialer.discard(len(batch))
            self._counters.add_sent(size_bytes=len(frame), messages=len(batch))

    def _receive_loop(self) -> None:
        while not self._is_closed:
            try:
                data = self._listener.recv()
            except pynng.Timeout:
                continue
            except pynng.Closed:
                return
            except RuntimeError:
                # pynng raises RuntimeError for an empty message, which any
                # client can send.
                self._counters.add_dropped(DropReason.MALFORMED)
                continue
            except pynng.NNGException as error:
                _LOG.error("failed to receive from the peer socket: {}", error)
                continue
            self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        opened = self._codec.open(data)
        if not isinstance(opened, Success):
            self._counters.add_dropped(opened.failure())
            return
        frame = opened.unwrap()
        self._counters.add_received(
            size_bytes=len(data), messages=len(frame.messages)
        )
        for reason in frame.dropped:
            self._counters.add_dropped(reason)
        for message in frame.messages:
            try:
                self._handler(message)
            except Exception:
                self._counters.add_dropped(DropReason.HANDLER_FAILED)
                _LOG.exception("peer message handler raised an exception")


def open_nng_transport(
    *,
    clock: Clock,
    identity: PeerIdentity,
    keys: PeerKeys,
    registry: PayloadRegistry,
    handler: MessageHandler,
    settings: NngSettings | None = None,
    listen_address: str | None = None,
) -> NngTransport:
    """Listens for peers and starts the transport's threads.

    Args:
        clock: Measures how long messages have been queued.
        identity: This process's identity, sent in every frame.
        keys: Keys that authenticate frames.
        registry: Encodes and decodes payloads.
        handler: Called with each message on the receiving thread; must not
            block.
        settings: Limits and intervals; the defaults if absent.
        listen_address: IP number and port to bind; the identity's if absent.

    Raises:
        ListenFailedError: If the address can't be bound.
    """
    settings = settings or NngSettings()
    codec = create_frame_codec(
        identity=identity,
        keys=keys,
        registry=registry,
        limit_bytes=settings.frame_limit_bytes,
    )
    address = listen_address or identity.address
    with contextlib.ExitStack() as stack:
        listener = pynng.Pull0(recv_timeout=_RECEIVE_TIMEOUT_MS)
        stack.callback(listener.close)
        # Messages above recv_max_size never reach the transport. Up to twice
        # the frame limit they are read, so that they are counted as oversized.
        listener.recv_max_size = 2 * settings.frame_limit_bytes
        try:
            listener.listen(f"tcp://{address}")
        except pynng.NNGException as error:
            raise ListenFailedError(address, str(error)) from error
        stack.pop_all()
    return NngTransport(clock, codec, settings, handler, listener)
