"""A daemon's cached copy of the shared state."""

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
    """An upstream's registration and when it warms up or expires."""

    entry: UpstreamEntry
    # Monotonic time at which it becomes warm; 0 if it was registered warm.
    cold_until_ms: int
    # Monotonic time at which it expires unless it registers again; None while
    # its entry is in the store.
    retain_until_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CachedRolloutOrder:
    """A roll-out order and when this daemon first read it."""

    order: RolloutOrder
    # Store revision of the order.
    revision: int
    # Monotonic time of the first read.
    seen_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CachedRolloutRecord:
    """A roll-out record and when this daemon first read it."""

    record: RolloutRecord
    # Store revision of the record.
    revision: int
    # Monotonic time of the first read.
    seen_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A change of the view, for the log."""

    # The store key; an upstream id if the upstream expired.
    key: str
    # Store revision of the change.
    revision: int
    # Text for the log line.
    summary: str


class FleetView:
    """Builds the configuration, upstreams, roll-outs and members from items.

    Items may arrive more than once and from several sources; for each key the
    highest revision wins. The configuration is never replaced by an older
    version.

    Args:
        codec: Decodes items.
        on_change: Logs a change.
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
        """Returns the changes after a revision, for a peer."""
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
        """Applies a listing of all keys and removes keys that it lacks.

        Keys that are newer than the listing stay.

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
        """Applies changes.

        Args:
            batch: The changes.
            now_ms: The monotonic time.
            replay: Whether the items come from a listing, so that an unchanged
                entry may be one that was applied before and does not restart
                the upstream's cold time.
            retain_until_ms: Monotonic time until which upstreams are kept after
                their entries are removed. Upstreams can't renew their entries
                during a store outage, so the removal may be an expiry rather
                than a departure. A time in the past removes them at once.
        """
        for item in batch.items:
            self._apply_item(item, now_ms, retain_until_ms, replay=replay)
        self.revision = max(self.revision, batch.revision)

    def expire(self, now_ms: int) -> None:
        """Removes upstreams that did not register again after an outage."""
        for upstream_id, cached in list(self.upstreams.items()):
            until = cached.retain_until_ms
            if until is not None and now_ms >= until:
                del self.upstreams[upstream_id]
                self._on_change(
                    Change(
                        key=upstream_id,
                        revision=self.revision,
                        summary="upstream expired: did not register again",
                    )
                )

    def _apply_item(
        self, item: Item, now_ms: int, retain_until_ms: int, *, replay: bool
    ) -> None:
        cached = self._items.get(item.key)
        newest = max(
            cached.revision if cached else 0, self._removed.get(item.key, 0)
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
            self._discard_document(item.key, now_ms, retain_until_ms=0)
            self._log_change(item, f"unreadable document discarded: {error}")
            return
        if document is None:
            return
        self._documents[item.key] = document
        self._apply_document(item, document, now_ms, replay=replay)

    def _apply_document(
        self, item: Item, document: Document, now_ms: int, *, replay: bool
    ) -> None:
        match document:
            case Configuration():
                self._apply_configuration(item, document)
            case UpstreamEntry():
                self._apply_upstream(item, document, now_ms, replay=replay)
            case Evacuation():
                self.evacuated.add(document.failure_domain)
                self._log_change(item, "failure domain out of service")
            case RolloutOrder():
                self.rollouts[document.service] = CachedRolloutOrder(
                    order=document, revision=item.revision, seen_ms=now_ms
                )
                self._log_change(item, f"roll-out to {document.target} ordered")
            case RolloutRecord():
                self.records[document.service] = CachedRolloutRecord(
                    record=document, revision=item.revision, seen_ms=now_ms
                )
                self._log_change(item, f"roll-out phase {document.phase.value}")
            case Member():
                self.members[document.name] = document
                self._log_change(
                    item,
                    f"daemon registered, incarnation {document.incarnation}",
                )

    def _apply_configuration(self, item: Item, document: Configuration) -> None:
        current = self.configuration
        if current is not None and document.version <= current.version:
            self._log_change(
                item, f"older configuration {document.version} ignored"
            )
            return
        self.configuration = document
        self._log_change(item, f"configuration {document.version} applied")

    def _apply_upstream(
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
        cached = self.upstreams.get(entry.upstream_id)
        if cached is not None and replay and cached.entry == entry:
            cold_until_ms = cached.cold_until_ms
        self.upstreams[entry.upstream_id] = CachedUpstream(
            entry=entry, cold_until_ms=cold_until_ms
        )
        self._log_change(
            item,
            f"upstream {entry.state.value}, version {entry.version},"
            f" cold for {entry.cold_left_ms} ms",
        )

    def _remove(
        self, key: str, revision: int, now_ms: int, retain_until_ms: int
    ) -> None:
        if self._items.pop(key, None) is None:
            return
        self._removed[key] = revision
        self._discard_document(key, now_ms, retain_until_ms)
        self._on_change(Change(key=key, revision=revision, summary="removed"))

    def _discard_document(
        self, key: str, now_ms: int, retain_until_ms: int
    ) -> None:
        match self._documents.pop(key, None):
            case UpstreamEntry() as entry:
                self._remove_upstream(entry, now_ms, retain_until_ms)
            case Evacuation() as evacuation:
                self.evacuated.discard(evacuation.failure_domain)
            case RolloutOrder() as order:
                self.rollouts.pop(order.service, None)
            case Member() as member:
                self.members.pop(member.name, None)
            case _:
                # The configuration and roll-out records stay in force when
                # their keys are removed.
                pass

    def _remove_upstream(
        self, entry: UpstreamEntry, now_ms: int, retain_until_ms: int
    ) -> None:
        cached = self.upstreams.get(entry.upstream_id)
        if cached is None:
            return
        if now_ms < retain_until_ms:
            self.upstreams[entry.upstream_id] = dataclasses.replace(
                cached, retain_until_ms=retain_until_ms
            )
            return
        del self.upstreams[entry.upstream_id]

    def _log_change(self, item: Item, summary: str) -> None:
        self._on_change(
            Change(key=item.key, revision=item.revision, summary=summary)
        )
