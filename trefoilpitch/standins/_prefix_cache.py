"""LRU cache of prompt prefixes of the engine stand-in, and its events."""

from __future__ import annotations

import collections

import msgspec

_MAX_EVENTS = 1024


class CacheEventEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the event log: a prefix was stored or evicted."""

    # Sequence number, from 1 after each restart.
    sequence: int
    # Hash of the prefix.
    prefix: str
    # Whether the prefix was stored; otherwise it was evicted.
    stored: bool
    # When it happened, in milliseconds since the Unix epoch.
    at_ms: int


class PrefixCache:
    """Keeps the most recently used prefixes.

    Not thread-safe; the caller holds a lock.
    """

    def __init__(self) -> None:
        self._prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[CacheEventEntry] = collections.deque(
            maxlen=_MAX_EVENTS
        )
        self._sequence = 0

    @property
    def prefixes(self) -> list[str]:
        """The cached prefixes, least recently used first."""
        return list(self._prefixes)

    def access(
        self, prefix: str, *, size: int, lose_every: int, now_ms: int
    ) -> bool:
        """Looks up a prefix and stores it as the most recently used.

        Args:
            prefix: Hash of the prefix.
            size: Maximum number of prefixes to keep.
            lose_every: Drops every n-th event; 0 drops none.
            now_ms: Time of the events.

        Returns:
            Whether the prefix was cached.
        """
        hit = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if not hit:
            self._record_event(prefix, True, lose_every, now_ms)
        while len(self._prefixes) > size:
            evicted, _ = self._prefixes.popitem(last=False)
            self._record_event(evicted, False, lose_every, now_ms)
        return hit

    def events(self, after: int, until_ms: int) -> list[CacheEventEntry]:
        """Returns the events after a sequence number, up to a time."""
        return [
            event
            for event in self._events
            if event.sequence > after and event.at_ms <= until_ms
        ]

    def clear(self) -> None:
        """Removes all prefixes and events and restarts the sequence."""
        self._prefixes.clear()
        self._events.clear()
        self._sequence = 0

    def _record_event(
        self, prefix: str, stored: bool, lose_every: int, now_ms: int
    ) -> None:
        self._sequence += 1
        if lose_every and self._sequence % lose_every == 0:
            return
        self._events.append(
            CacheEventEntry(
                sequence=self._sequence,
                prefix=prefix,
                stored=stored,
                at_ms=now_ms,
            )
        )
