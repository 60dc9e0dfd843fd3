"""A daemon's cached copy of the shared state."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Collection

from trefoilpitch.fleet._exceptions import MalformedDocumentError
from trefoilpitch.fleet._restore import DeferredItem, adoption_delay_ms
from trefoilpitch.fleet._store import (
    ABSENT,
    Document,
    DocumentCodec,
    Evacuation,
    Item,
    ItemBatch,
    StoreVersion,
)
from trefoilpitch.fleet._types import (
    Configuration,
    Member,
    QuarantineRecord,
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
    # Whether the first read was a listing, so that the roll-out may have been
    # in progress before.
    listed: bool = False
    # Whether the store has this order; see `CachedRolloutRecord.stored`.
    stored: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CachedRolloutRecord:
    """A roll-out record and when this daemon first read it."""

    record: RolloutRecord
    # Store revision of the record; `ABSENT` if the store does not have the key.
    revision: int
    # Monotonic time of the first read.
    seen_ms: int
    # Whether the store has this record. It has an older one or none if it was
    # restored from a copy that was made before the record was written.
    stored: bool = True


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
    version. When the store has been restored from an older copy, `restore`
    adopts its listing without going back; see docs/design/store-restore.md.

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
        # After a restore: the listing's items, None for a missing key, that
        # replace what this view has unless their keys are written before.
        self._deferred: dict[str, DeferredItem] = {}
        # Id of the upstream that was last applied at an address.
        self._ids_by_address: dict[tuple[str, int], str] = {}
        self.era = 0
        self.revision = 0
        self.configuration: Configuration | None = None
        self.upstreams: dict[str, CachedUpstream] = {}
        self.evacuated: set[str] = set()
        self.rollouts: dict[str, CachedRolloutOrder] = {}
        self.records: dict[str, CachedRolloutRecord] = {}
        # Daemons that may be running. Those whose entries were removed stay for
        # as long as they are heard, see `expire`.
        self.members: dict[str, Member] = {}
        # Monotonic time until which members without an entry are kept anyway.
        self._unlisted_until_ms: dict[str, int] = {}
        self.quarantines: dict[str, QuarantineRecord] = {}

    @property
    def version(self) -> StoreVersion:
        """The point in the store's history that the view corresponds to."""
        return StoreVersion(self.era, self.revision)

    def is_listed(self, name: str) -> bool:
        """Returns whether a daemon has an entry in the store."""
        return name in self.members and name not in self._unlisted_until_ms

    def changes_after(self, version: StoreVersion) -> ItemBatch:
        """Returns what a peer at some version lacks.

        Returns:
            The changes; all items if the peer is in an older era, none if it is
            in a newer one.
        """
        if version.era > self.era:
            return ItemBatch(items=(), revision=self.revision, era=self.era)
        if version.era < self.era or version.revision == 0:
            return ItemBatch(
                items=tuple(self._items.values()),
                revision=self.revision,
                era=self.era,
                complete=True,
            )
        return self._items_after(version.revision)

    def _items_after(self, revision: int) -> ItemBatch:
        changed = [
            item for item in self._items.values() if item.revision > revision
        ]
        removed = [
            Item(key=key, value=None, revision=at)
            for key, at in self._removed.items()
            if at > revision
        ]
        ordered = sorted(changed + removed, key=lambda item: item.revision)
        return ItemBatch(
            items=tuple(ordered), revision=self.revision, era=self.era
        )

    def restore(self, batch: ItemBatch, now_ms: int) -> None:
        """Adopts a listing of a store that was restored from an older copy.

        What the view has and the listing lacks, or has in another state, was
        probably written after the copy was made. Its writers write it again
        within seconds; until then the view keeps it. A failure domain or an
        upstream that the listing takes out of service is taken out at once.

        Args:
            batch: A complete listing of a newer era than the view's.
            now_ms: The monotonic time.
        """
        known = self._items
        listed = {item.key: item for item in batch.items}
        self._items = {}
        self._removed = {}
        self._deferred = {}
        self.era = batch.era
        self.revision = batch.revision
        for key in {**known, **listed}:
            self._restore_key(key, known.get(key), listed.get(key), now_ms)

    def _restore_key(
        self, key: str, known: Item | None, listed: Item | None, now_ms: int
    ) -> None:
        if listed is not None:
            self._items[key] = listed
        document = self._documents.get(key)
        if isinstance(document, Configuration):
            self._restore_configuration(key, known, listed, now_ms)
            return
        if isinstance(document, RolloutRecord):
            self._restore_record(document.service, listed)
            return
        if known and listed and listed.value == known.value:
            self._rebind(document, listed.revision)
            return
        if isinstance(document, RolloutOrder):
            self.rollouts[document.service] = dataclasses.replace(
                self.rollouts[document.service], stored=False
            )
        listed_document = self._decode(listed) if listed is not None else None
        delay_ms = adoption_delay_ms(document, listed_document)
        if delay_ms:
            self._deferred[key] = DeferredItem(
                item=listed, due_ms=now_ms + delay_ms
            )
        elif listed is not None:
            self._apply_listed(listed, now_ms)

    def _restore_configuration(
        self, key: str, known: Item | None, listed: Item | None, now_ms: int
    ) -> None:
        document = self._decode(listed) if listed is not None else None
        current = self.configuration
        if (
            listed is not None
            and isinstance(document, Configuration)
            and (current is None or document.version > current.version)
        ):
            self._apply_listed(listed, now_ms)
        elif known is not None:
            # Peers that start now get the newest configuration from here.
            self._items[key] = dataclasses.replace(
                known, revision=self.revision
            )

    def _restore_record(self, service: str, listed: Item | None) -> None:
        """Keeps a record; a controller writes it again if the store lost it."""
        cached = self.records[service]
        stored = listed is not None and self._decode(listed) == cached.record
        self.records[service] = dataclasses.replace(
            cached,
            revision=listed.revision if listed else ABSENT,
            stored=stored,
        )

    def _rebind(self, document: Document | None, revision: int) -> None:
        """Identifies an unchanged roll-out order by its new revision."""
        if not isinstance(document, RolloutOrder):
            return
        service = document.service
        rollout = self.rollouts.get(service)
        if rollout is None:
            return
        self.rollouts[service] = dataclasses.replace(
            rollout, revision=revision, stored=True
        )
        if rollout.revision == revision:
            return
        cached = self.records.get(service)
        if cached is None or cached.record.order_revision != rollout.revision:
            return
        self.records[service] = dataclasses.replace(
            cached,
            record=dataclasses.replace(cached.record, order_revision=revision),
            stored=False,
        )

    def _apply_deferred(self, now_ms: int) -> None:
        for key, deferred in list(self._deferred.items()):
            if now_ms < deferred.due_ms:
                continue
            del self._deferred[key]
            if deferred.item is not None:
                self._apply_listed(deferred.item, now_ms)
            elif key in self._documents:
                self._discard_document(key, now_ms, retain_until_ms=0)
                self._on_change(
                    Change(
                        key=key,
                        revision=self.revision,
                        summary="removed: not written again after a restore",
                    )
                )

    def _apply_listed(self, item: Item, now_ms: int) -> None:
        self._items.pop(item.key, None)
        self._apply_item(item, now_ms, retain_until_ms=0, replay=True)

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
            retain_until_ms: Monotonic time until which upstreams and members
                are kept after their entries are removed. They can't renew their
                entries during a store outage, so the removal may be an expiry
                rather than a departure. A time in the past removes upstreams at
                once, and members as soon as they are not heard.
        """
        for item in batch.items:
            self._apply_item(item, now_ms, retain_until_ms, replay=replay)
        self.era = max(self.era, batch.era)
        self.revision = max(self.revision, batch.revision)

    def record_step(self, record: RolloutRecord, now_ms: int) -> None:
        """Records a roll-out step that this daemon has just written.

        Its revision becomes known when the watch delivers it.
        """
        cached = self.records.get(record.service)
        self.records[record.service] = CachedRolloutRecord(
            record=record,
            revision=cached.revision if cached else ABSENT,
            seen_ms=now_ms,
        )

    def expire(self, now_ms: int, heard: Collection[str] = ()) -> None:
        """Removes what was not written again after an outage or a restore.

        Args:
            now_ms: The monotonic time.
            heard: Daemons that recently sent a heartbeat. They are running,
                whatever the store has.
        """
        self._apply_deferred(now_ms)
        for name, until_ms in list(self._unlisted_until_ms.items()):
            if now_ms >= until_ms and name not in heard:
                del self._unlisted_until_ms[name]
                self.members.pop(name, None)
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
        if item.revision <= newest and not self._is_newer_configuration(item):
            return
        deferred = self._deferred.pop(item.key, None)
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
        known = self._documents.get(item.key)
        self._documents[item.key] = document
        if isinstance(document, RolloutRecord) and self._keeps_record(
            document, item
        ):
            return
        if deferred is not None and document == known:
            # The operator has written the same order again after a restore.
            self._rebind(document, item.revision)
            return
        self._apply_document(item, document, now_ms, replay=replay)

    def _is_newer_configuration(self, item: Item) -> bool:
        """Returns whether an item has a newer configuration than this view.

        A peer may have kept a configuration that a restored store has lost.
        """
        current = self.configuration
        if current is None or item.value is None:
            return False
        if not isinstance(self._documents.get(item.key), Configuration):
            return False
        known = self._items.get(item.key)
        if known is not None and known.value == item.value:
            return False
        document = self._decode(item)
        return (
            isinstance(document, Configuration)
            and document.version > current.version
        )

    def _keeps_record(self, record: RolloutRecord, item: Item) -> bool:
        """Returns whether the view has a later record of the same order.

        After a restore, a daemon that knows only the older copy may have
        written an earlier step.
        """
        cached = self.records.get(record.service)
        if cached is None or not cached.record.supersedes(record):
            return False
        self.records[record.service] = dataclasses.replace(
            cached, revision=item.revision, stored=False
        )
        self._log_change(item, "earlier roll-out step ignored")
        return True

    def _decode(self, item: Item) -> Document | None:
        if item.value is None:
            return None
        try:
            return self._codec.decode(item.key, item.value)
        except MalformedDocumentError as error:
            self._log_change(item, f"unreadable document discarded: {error}")
            return None

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
                    order=document,
                    revision=item.revision,
                    seen_ms=now_ms,
                    listed=replay,
                )
                self._log_change(item, f"roll-out to {document.target} ordered")
            case RolloutRecord():
                self.records[document.service] = CachedRolloutRecord(
                    record=document, revision=item.revision, seen_ms=now_ms
                )
                self._log_change(item, f"roll-out phase {document.phase.value}")
            case Member():
                self.members[document.name] = document
                self._unlisted_until_ms.pop(document.name, None)
                self._log_change(
                    item,
                    f"daemon registered, incarnation {document.incarnation}",
                )
            case QuarantineRecord():
                self.quarantines[document.name] = document
                self._log_change(
                    item, f"quarantine after {len(document.endings)} endings"
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
        other = self._at_same_address(entry)
        if other is not None and _replaces(other, entry):
            self._log_change(item, "upstream replaced at its address")
            return
        if other is not None and _replaces(entry, other):
            # It crashed; its entry stays in the store until it expires.
            del self.upstreams[other.upstream_id]
            self._log_change(item, f"replaces upstream {other.upstream_id}")
        self._ids_by_address[entry.host, entry.port] = entry.upstream_id
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

    def _at_same_address(self, entry: UpstreamEntry) -> UpstreamEntry | None:
        """Returns another upstream at an entry's address."""
        upstream_id = self._ids_by_address.get((entry.host, entry.port))
        cached = self.upstreams.get(upstream_id or "")
        if cached is None or upstream_id == entry.upstream_id:
            return None
        return cached.entry

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
                self._unlisted_until_ms[member.name] = retain_until_ms
            case QuarantineRecord() as record:
                self.quarantines.pop(record.name, None)
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
        address = (entry.host, entry.port)
        if self._ids_by_address.get(address) == entry.upstream_id:
            del self._ids_by_address[address]

    def _log_change(self, item: Item, summary: str) -> None:
        self._on_change(
            Change(key=item.key, revision=item.revision, summary=summary)
        )


def _replaces(entry: UpstreamEntry, other: UpstreamEntry) -> bool:
    """Returns whether an upstream started later at the other's address."""
    return (
        (entry.host, entry.port) == (other.host, other.port)
        and entry.upstream_id != other.upstream_id
        and 0 < other.started_wall_ms < entry.started_wall_ms
    )
