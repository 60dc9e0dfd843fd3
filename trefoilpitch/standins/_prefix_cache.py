"""The engine stand-in's cache of prompt prefixes and its events."""

from __future__ import annotations

import collections

import msgspec

_MAX_EVENTS = 1024


class CacheEventEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One event in the log."""

    # Position in the log, from 1.
    sequence: int
    # Hash of the prefix.
    prefix: str
    # Whether it entered the cache; otherwise it was evicted.
    stored: bool
    # When it happened, in milliseconds.
    at_ms: int


class PrefixCache:
    """Keeps the prefixes used last; the caller locks."""

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

    def use(
        self, prefix: str, *, size: int, lose_every: int, now_ms: int
    ) -> bool:
        """Looks a prefix up and stores it; returns whether it was cached."""
        hit = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if not hit:
            self._log(prefix, True, lose_every, now_ms)
        while len(self._prefixes) > size:
            evicted, _ = self._prefixes.popitem(last=False)
            self._log(evicted, False, lose_every, now_ms)
        return hit

    def events(self, after: int, until_ms: int) -> list[CacheEventEntry]:
        """Returns the logged events after a position, up to a time."""
        return [
            event
            for event in self._events
            if event.sequence > after and event.at_ms <= until_ms
        ]

    def clear(self) -> None:
        """Forgets everything, as a restart does."""
        self._prefixes.clear()
        self._events.clear()
        self._sequence = 0

    def _log(
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
