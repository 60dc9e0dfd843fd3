"""Tracks which engines have the prefix of a conversation in their caches."""

from __future__ import annotations

import threading
from collections.abc import Sequence

from trefoilpitch.routing import CacheEvent, PrefixIndex
from trefoilpitch.upstreams import CacheEvent as ReceivedEvent
from trefoilpitch.upstreams import CacheEvents, Message, prompt_prefix_hash

_HEXADECIMAL = 16


class PrefixCaches:
    """An index of the engines' prefix caches, kept by their cache events.

    Thread-safe. Engines identify a prefix by the hash of the conversation's
    first message.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._index = PrefixIndex()
        # By engine: its incarnation and the sequence number of the last event.
        self._positions: dict[str, tuple[str, int]] = {}

    @property
    def gaps(self) -> int:
        """Number of gaps detected in the event sequences of all engines."""
        with self._lock:
            return self._index.gaps

    def holders(self, messages: Sequence[Message]) -> frozenset[str]:
        """Returns the engines that have the prefix cached, as last known."""
        block_hashes = _block_hashes(messages)
        with self._lock:
            return self._index.holders(block_hashes)

    def record_sent(self, engine: str, messages: Sequence[Message]) -> None:
        """Records that a conversation was sent to an engine.

        The engine is taken to have its prefix cached from now on.
        """
        block_hashes = _block_hashes(messages)
        with self._lock:
            incarnation, _ = self._position(engine)
            self._index.record_sent(engine, incarnation, block_hashes)

    def last_event(self, engine: str) -> int:
        """Returns the sequence number after which to fetch events."""
        with self._lock:
            return self._position(engine)[1]

    def observe(
        self,
        engine: str,
        received: CacheEvents,
        reported: frozenset[str] = frozenset(),
    ) -> None:
        """Applies events that were fetched after the last known one.

        A new incarnation numbers its events from the beginning, so that the
        engine's entries are removed and its events fetched again from there.

        Args:
            engine: The engine.
            received: The events.
            reported: Hashes of the prefixes that the engine's last load report
                lists. They are recorded after a gap, which clears the engine's
                entries because evictions may have been missed.
        """
        with self._lock:
            incarnation, last = self._position(engine)
            if received.incarnation != incarnation:
                self._positions[engine] = (received.incarnation, 0)
                if last:
                    self._index.remove_upstream(engine)
                    return
            gaps = self._index.gaps
            for event in received.events:
                self._observe(engine, received.incarnation, event)
            if self._index.gaps > gaps:
                block_hashes = tuple(_block_hash(prefix) for prefix in reported)
                self._index.record_sent(
                    engine, received.incarnation, block_hashes
                )

    def retain(self, engines: frozenset[str]) -> None:
        """Removes the entries of all engines but those given."""
        with self._lock:
            for engine in self._positions.keys() - engines:
                del self._positions[engine]
                self._index.remove_upstream(engine)

    def _observe(
        self, engine: str, incarnation: str, event: ReceivedEvent
    ) -> None:
        changed = (_block_hash(event.prefix),)
        self._positions[engine] = (incarnation, event.sequence)
        self._index.observe(
            CacheEvent(
                upstream=engine,
                incarnation=incarnation,
                sequence=event.sequence,
                stored=changed if event.stored else (),
                evicted=() if event.stored else changed,
            )
        )

    def _position(self, engine: str) -> tuple[str, int]:
        return self._positions.setdefault(engine, ("", 0))


def _block_hashes(messages: Sequence[Message]) -> tuple[int, ...]:
    if not messages:
        return ()
    return (_block_hash(prompt_prefix_hash(messages[0].content)),)


def _block_hash(prefix: str) -> int:
    return int(prefix, _HEXADECIMAL)
