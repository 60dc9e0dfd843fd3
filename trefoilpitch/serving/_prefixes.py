"""Which engines hold the prefix of a conversation in their caches."""

from __future__ import annotations

import threading
from collections.abc import Sequence

from trefoilpitch.routing import CacheEvent, PrefixIndex
from trefoilpitch.upstreams import CacheEvent as ReceivedEvent
from trefoilpitch.upstreams import CacheEvents, Message, prompt_prefix_hash

_HEXADECIMAL = 16


class PrefixCaches:
    """Follows the caches of engines by the events that they publish.

    Thread-safe. Engines identify a prefix by the hash of the conversation's
    first message.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._index = PrefixIndex()
        # The incarnation and the last event seen of each engine.
        self._positions: dict[str, tuple[str, int]] = {}

    @property
    def gaps(self) -> int:
        """Gaps seen in the events of all engines."""
        with self._lock:
            return self._index.gaps

    def holders(self, messages: Sequence[Message]) -> frozenset[str]:
        """Returns the engines that are believed to hold the prefix."""
        blocks = _blocks(messages)
        with self._lock:
            return self._index.holders(blocks)

    def sent(self, engine: str, messages: Sequence[Message]) -> None:
        """Notes a conversation that this node sent to an engine."""
        blocks = _blocks(messages)
        with self._lock:
            incarnation, _ = self._position(engine)
            self._index.sent(engine, incarnation, blocks)

    def last_event(self, engine: str) -> int:
        """Returns the position after which events are to be fetched."""
        with self._lock:
            return self._position(engine)[1]

    def observe(
        self,
        engine: str,
        received: CacheEvents,
        reported: frozenset[str] = frozenset(),
    ) -> None:
        """Takes in events that were fetched after the last one.

        Those of a new incarnation count from its beginning, so that they are
        fetched again.

        Args:
            engine: The engine.
            received: The events.
            reported: Hashes of the prefixes that its last load report lists;
                what is believed after a gap.
        """
        with self._lock:
            incarnation, last = self._position(engine)
            if received.incarnation != incarnation:
                self._positions[engine] = (received.incarnation, 0)
                if last:
                    self._index.forget(engine)
                    return
            gaps = self._index.gaps
            for event in received.events:
                self._observe(engine, received.incarnation, event)
            if self._index.gaps > gaps:
                blocks = tuple(_block(prefix) for prefix in reported)
                self._index.sent(engine, received.incarnation, blocks)

    def retain(self, engines: frozenset[str]) -> None:
        """Drops what is known of all engines but some."""
        with self._lock:
            for engine in self._positions.keys() - engines:
                del self._positions[engine]
                self._index.forget(engine)

    def _observe(
        self, engine: str, incarnation: str, event: ReceivedEvent
    ) -> None:
        changed = (_block(event.prefix),)
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


def _blocks(messages: Sequence[Message]) -> tuple[int, ...]:
    if not messages:
        return ()
    return (_block(prompt_prefix_hash(messages[0].content)),)


def _block(prefix: str) -> int:
    return int(prefix, _HEXADECIMAL)
