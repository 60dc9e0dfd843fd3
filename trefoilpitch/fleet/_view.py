"""One daemon's copy of what the fleet shares."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from trefoilpitch.fleet._exceptions import MalformedDocumentError
from trefoilpitch.fleet._store import (
    Document,
    DocumentCodec,
    Evacuation,
    Item,
    ItemBatch,
)
from trefoilpitch.fleet._types import (
    Configuration,
    Member,
    RolloutOrder,
    RolloutRecord,
    UpstreamEntry,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CachedUpstream:
    """An upstream and what the view knows of its entry's age."""

    # The entry.
    entry: UpstreamEntry
    # Monotonic time until which it is cold; 0 if it is warm.
    cold_until_ms: int
    # Monotonic time after which it is no longer believed in; None if its
    # entry is in the store.
    retain_until_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CachedRolloutOrder:
    """A roll-out order and when this daemon learnt of it."""

    # The order.
    order: RolloutOrder
    # Its store revision.
    revision: int
    # Monotonic time when it was first seen.
    seen_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CachedRolloutRecord:
    """A roll-out record and when this daemon learnt of it."""

    # The record.
    record: RolloutRecord
    # Its store revision.
    revision: int
    # Monotonic time when it was first seen.
    seen_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """Something that the view has come to believe, for the log."""

    # The key that changed.
    key: str
    # Store revision of the change.
    revision: int
    # What changed, in a few words.
    summary: str


class FleetView:
    """Folds the store's items into configuration, upstreams and members.

    A configuration never goes back to an older version. Items may come twice
    and from several sources; the one with the highest revision of a key wins.

    Args:
        codec: Decodes items.
        on_change: Called for each change, for logs.
    """

    def __init__(
        self, codec: DocumentCodec, on_change: Callable[[Change], None]
    ) -> None:
        self._codec = codec
        self._on_change = on_change
        self._items: dict[str, Item] = {}
        self._documents: dict[str, Document] = {}
        self._removed: dict[str, int] = {}
        self.revision = 0
        self.configuration: Configuration | None = None
        self.upstreams: dict[str, CachedUpstream] = {}
        self.evacuated: set[str] = set()
        self.rollouts: dict[str, CachedRolloutOrder] = {}
        self.records: dict[str, CachedRolloutRecord] = {}
        self.members: dict[str, Member] = {}

    def items_after(self, revision: int) -> ItemBatch:
        """Returns the items that changed after a revision, for a peer."""
        changed = [
            item for item in self._items.values() if item.revision > revision
        ]
        removed = [
            Item(key=key, value=None, revision=at)
            for key, at in self._removed.items()
            if at > revision
        ]
        ordered = sorted(changed + removed, key=lambda item: item.revision)
        return ItemBatch(items=tuple(ordered), revision=self.revision)

    def load(
        self, batch: ItemBatch, now_ms: int, *, retain_until_ms: int = 0
    ) -> None:
        """Takes a listing of all keys; one that it lacks has been removed.

        Args:
            batch: The listing.
            now_ms: The monotonic time.
            retain_until_ms: As for `apply`.
        """
        present = {item.key for item in batch.items}
        for key, item in list(self._items.items()):
            if key not in present and item.revision <= batch.revision:
                self._remove(key, batch.revision, now_ms, retain_until_ms)
        self.apply(batch, now_ms, replay=True)

    def apply(
        self,
        batch: ItemBatch,
        now_ms: int,
        *,
        replay: bool = False,
        retain_until_ms: int = 0,
    ) -> None:
        """Takes changes.

        Args:
            batch: The changes.
            now_ms: The monotonic time.
            replay: Whether the items may be older than they look, as in a
                listing.
            retain_until_ms: Until when upstreams whose entries are removed
                are still believed in, as these may have lapsed while the store
                was away; a time in the past drops them at once.
        """
        for item in batch.items:
            self._take(item, now_ms, retain_until_ms, replay=replay)
        self.revision = max(self.revision, batch.revision)

    def expire(self, now_ms: int) -> None:
        """Drops upstreams whose entries stayed away after an outage."""
        for upstream_id, known in list(self.upstreams.items()):
            until = known.retain_until_ms
            if until is not None and now_ms >= until:
                del self.upstreams[upstream_id]
                self._on_change(
                    Change(
                        key=upstream_id,
                        revision=self.revision,
                        summary="upstream did not come back",
                    )
                )

    def _take(
        self, item: Item, now_ms: int, retain_until_ms: int, *, replay: bool
    ) -> None:
        known = self._items.get(item.key)
        newest = max(
            known.revision if known else 0, self._removed.get(item.key, 0)
        )
        if item.revision <= newest:
            return
        if item.value is None:
            self._remove(item.key, item.revision, now_ms, retain_until_ms)
            return
        self._items[item.key] = item
        self._removed.pop(item.key, None)
        try:
            document = self._codec.decode(item.key, item.value)
        except MalformedDocumentError as error:
            self._forget(item.key, now_ms, retain_until_ms=0)
            self._note(item, f"unreadable: {error}")
            return
        if document is None:
            return
        self._documents[item.key] = document
        self._fold(item, document, now_ms, replay=replay)

    def _fold(
        self, item: Item, document: Document, now_ms: int, *, replay: bool
    ) -> None:
        match document:
            case Configuration():
                self._fold_configuration(item, document)
            case UpstreamEntry():
                self._fold_upstream(item, document, now_ms, replay=replay)
            case Evacuation():
                self.evacuated.add(document.failure_domain)
                self._note(item, "failure domain taken out")
            case RolloutOrder():
                self.rollouts[document.service] = CachedRolloutOrder(
                    order=document, revision=item.revision, seen_ms=now_ms
                )
                self._note(item, f"roll-out to {document.target} ordered")
            case RolloutRecord():
                self.records[document.service] = CachedRolloutRecord(
                    record=document, revision=item.revision, seen_ms=now_ms
                )
                self._note(item, f"roll-out {document.phase.value}")
            case Member():
                self.members[document.name] = document
                self._note(item, f"member {document.incarnation}")

    def _fold_configuration(self, item: Item, document: Configuration) -> None:
        current = self.configuration
        if current is not None and document.version <= current.version:
            self._note(item, f"older configuration {document.version} ignored")
            return
        self.configuration = document
        self._note(item, f"configuration {document.version}")

    def _fold_upstream(
        self,
        item: Item,
        entry: UpstreamEntry,
        now_ms: int,
        *,
        replay: bool,
    ) -> None:
        cold_until_ms = 0
        if entry.cold_left_ms > 0:
            cold_until_ms = now_ms + entry.cold_left_ms
        known = self.upstreams.get(entry.upstream_id)
        if known is not None and replay and known.entry == entry:
            cold_until_ms = known.cold_until_ms
        self.upstreams[entry.upstream_id] = CachedUpstream(
            entry=entry, cold_until_ms=cold_until_ms
        )
        self._note(
            item,
            f"upstream {entry.state.value} {entry.version}"
            f" cold {entry.cold_left_ms} ms",
        )

    def _remove(
        self, key: str, revision: int, now_ms: int, retain_until_ms: int
    ) -> None:
        if self._items.pop(key, None) is None:
            return
        self._removed[key] = revision
        self._forget(key, now_ms, retain_until_ms)
        self._on_change(Change(key=key, revision=revision, summary="removed"))

    def _forget(self, key: str, now_ms: int, retain_until_ms: int) -> None:
        match self._documents.pop(key, None):
            case UpstreamEntry() as entry:
                self._forget_upstream(entry, now_ms, retain_until_ms)
            case Evacuation() as evacuation:
                self.evacuated.discard(evacuation.failure_domain)
            case RolloutOrder() as order:
                self.rollouts.pop(order.service, None)
            case Member() as member:
                self.members.pop(member.name, None)
            case _:
                # A configuration and a roll-out's outcome outlive their keys.
                pass

    def _forget_upstream(
        self, entry: UpstreamEntry, now_ms: int, retain_until_ms: int
    ) -> None:
        known = self.upstreams.get(entry.upstream_id)
        if known is None:
            return
        if now_ms < retain_until_ms:
            self.upstreams[entry.upstream_id] = dataclasses.replace(
                known, retain_until_ms=retain_until_ms
            )
            return
        del self.upstreams[entry.upstream_id]

    def _note(self, item: Item, summary: str) -> None:
        self._on_change(
            Change(key=item.key, revision=item.revision, summary=summary)
        )
