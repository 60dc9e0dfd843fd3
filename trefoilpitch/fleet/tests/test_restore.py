"""A view whose store comes back from an older copy.

The copy lacks the last writes, revisions are given out again, and the writers
write their entries again a moment later.
"""

from __future__ import annotations

import dataclasses

import pytest

from trefoilpitch.fleet import (
    Document,
    Evacuation,
    FleetView,
    Item,
    ItemBatch,
    Member,
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
    StoreVersion,
    UpstreamState,
)
from trefoilpitch.fleet.tests.fakes import (
    InMemoryCodec,
    configuration,
    upstream,
)

_LONG_MS = 60_000


class _Harness:
    """Writes to a store that can go back to an older state."""

    def __init__(self) -> None:
        self.codec = InMemoryCodec()
        self.view = FleetView(self.codec, lambda change: None)
        self.era = 1
        self.revision = 0
        self.items: dict[str, Item] = {}

    def put(self, key: str, document: Document, now_ms: int = 0) -> Item:
        self.revision += 1
        item = self.codec.item(key, document, self.revision)
        # The value depends on the document only, as in a real store.
        value = f"{key}={document}".encode()
        self.codec._documents[value] = document
        item = dataclasses.replace(item, value=value)
        self.items[key] = item
        self._apply(item, now_ms)
        return item

    def remove(self, key: str, now_ms: int = 0) -> None:
        self.revision += 1
        del self.items[key]
        self._apply(Item(key=key, value=None, revision=self.revision), now_ms)

    def copy(self) -> tuple[int, dict[str, Item]]:
        return self.revision, dict(self.items)

    def restore(self, copy: tuple[int, dict[str, Item]]) -> None:
        self.revision, self.items = copy[0], dict(copy[1])
        self.era += 1
        self.view.restore(self.listing(), 0)

    def listing(self) -> ItemBatch:
        return ItemBatch(
            items=tuple(self.items.values()),
            revision=self.revision,
            era=self.era,
            complete=True,
        )

    def _apply(self, item: Item, now_ms: int) -> None:
        batch = ItemBatch(items=(item,), revision=self.revision, era=self.era)
        self.view.apply(batch, now_ms)


def test_versions_are_ordered_by_era_first() -> None:
    assert StoreVersion(2, 5) > StoreVersion(1, 900)
    assert StoreVersion(2, 5) < StoreVersion(2, 6)


def test_newer_configuration_stays_and_reaches_peers_that_have_the_copy() -> (
    None
):
    harness = _Harness()
    harness.put("config", configuration(1))
    copy = harness.copy()
    harness.put("config", configuration(2))
    harness.restore(copy)
    assert harness.view.configuration is not None
    assert harness.view.configuration.version == 2
    # A daemon that starts now has only the copy.
    peer = FleetView(harness.codec, lambda change: None)
    peer.load(harness.listing(), 0)
    assert peer.configuration is not None
    assert peer.configuration.version == 1
    peer.apply(harness.view.changes_after(StoreVersion(harness.era, 0)), 0)
    assert peer.configuration.version == 2


def test_configuration_written_again_at_a_used_revision_applies() -> None:
    harness = _Harness()
    harness.put("config", configuration(1))
    copy = harness.copy()
    harness.put("config", configuration(2))
    harness.restore(copy)
    harness.put("config", configuration(3))
    assert harness.view.configuration is not None
    assert harness.view.configuration.version == 3


@pytest.mark.parametrize(
    ("key", "document", "attribute"),
    [
        ("u", upstream("u"), "upstreams"),
        ("evacuation", Evacuation(failure_domain="d"), "evacuated"),
        (
            "order",
            RolloutOrder(service="s", target="v2", duration_ms=1_000),
            "rollouts",
        ),
    ],
)
def test_entry_that_the_copy_lacks_is_kept_until_it_is_written_again(
    key: str, document: Document, attribute: str
) -> None:
    harness = _Harness()
    copy = harness.copy()
    harness.put(key, document)
    harness.restore(copy)
    held = getattr(harness.view, attribute)
    harness.view.expire(2_500)
    assert held
    harness.put(key, document, now_ms=2_500)
    harness.view.expire(_LONG_MS)
    assert held


@pytest.mark.parametrize(
    ("key", "document", "attribute"),
    [
        ("u", upstream("u"), "upstreams"),
        ("evacuation", Evacuation(failure_domain="d"), "evacuated"),
    ],
)
def test_entry_that_is_not_written_again_is_dropped(
    key: str, document: Document, attribute: str
) -> None:
    harness = _Harness()
    copy = harness.copy()
    harness.put(key, document)
    harness.restore(copy)
    harness.view.expire(_LONG_MS)
    assert not getattr(harness.view, attribute)


def test_draining_upstream_is_not_ready_again_by_the_copy() -> None:
    harness = _Harness()
    harness.put("u", upstream("u"))
    copy = harness.copy()
    draining = upstream("u", state=UpstreamState.DRAINING)
    harness.put("u", draining)
    harness.restore(copy)
    harness.view.expire(2_500)
    assert harness.view.upstreams["u"].entry == draining
    harness.put("u", draining, now_ms=2_500)
    harness.view.expire(_LONG_MS)
    assert harness.view.upstreams["u"].entry == draining


def test_upstream_that_drains_after_the_restore_is_taken_out_at_once() -> None:
    harness = _Harness()
    harness.put("u", upstream("u"))
    revision, items = harness.copy()
    draining = harness.put("u", upstream("u", state=UpstreamState.DRAINING))
    harness.put("u", upstream("u", slots=9))
    harness.restore((revision + 1, {**items, "u": draining}))
    state = harness.view.upstreams["u"].entry.state
    assert state is UpstreamState.DRAINING


def test_removed_upstream_in_the_copy_is_left_out_for_a_while() -> None:
    harness = _Harness()
    harness.put("u", upstream("u"))
    copy = harness.copy()
    harness.remove("u")
    harness.restore(copy)
    harness.view.expire(4_500)
    assert not harness.view.upstreams
    harness.view.expire(_LONG_MS)
    assert set(harness.view.upstreams) == {"u"}


def test_member_is_kept_until_it_registers_again() -> None:
    harness = _Harness()
    member = Member(
        name="vm",
        incarnation="i",
        caller_address="10.0.0.1:1",
        peer_host="10.0.0.1",
        peer_port=2,
        heartbeat_port=3,
        failure_domain="d",
    )
    copy = harness.copy()
    harness.put("member", member)
    harness.restore(copy)
    harness.view.expire(10_000)
    assert set(harness.view.members) == {"vm"}
    harness.view.expire(_LONG_MS)
    assert not harness.view.members


def _record(order: int, phase: RolloutPhase, percent: int) -> RolloutRecord:
    return RolloutRecord(
        service="s",
        target="v2",
        order_revision=order,
        phase=phase,
        percent=percent,
    )


@pytest.mark.parametrize(
    ("phase", "percent"),
    [
        (RolloutPhase.SHIFT, 50),
        (RolloutPhase.COMPLETED, 100),
        (RolloutPhase.ROLLED_BACK, 0),
    ],
)
def test_rollout_step_that_the_copy_lacks_stays_and_is_to_be_written(
    phase: RolloutPhase, percent: int
) -> None:
    harness = _Harness()
    order = RolloutOrder(service="s", target="v2", duration_ms=1_000)
    item = harness.put("order", order)
    canary = _record(item.revision, RolloutPhase.CANARY, 0)
    harness.put("record", canary)
    copy = harness.copy()
    harness.put("record", _record(item.revision, phase, percent))
    harness.restore(copy)
    cached = harness.view.records["s"]
    assert (cached.record.phase, cached.stored) == (phase, False)
    # The condition of the write is the record's revision in the copy.
    assert cached.revision == copy[0]
    # A daemon that knows only the copy writes an earlier step.
    written = harness.put(
        "record", _record(item.revision, RolloutPhase.SHIFT, 20)
    )
    cached = harness.view.records["s"]
    assert cached.record.phase is phase
    assert (cached.revision, cached.stored) == (written.revision, False)
    harness.put("record", _record(item.revision, phase, percent))
    assert harness.view.records["s"].stored


def test_rollout_continues_if_its_order_is_written_again() -> None:
    harness = _Harness()
    copy = harness.copy()
    order = RolloutOrder(service="s", target="v2", duration_ms=1_000)
    harness.put("other", configuration(1))
    first = harness.put("order", order, now_ms=7)
    record = _record(first.revision, RolloutPhase.ROLLED_BACK, 0)
    harness.put("record", record)
    harness.restore(copy)
    assert not harness.view.rollouts["s"].stored
    again = harness.put("order", order, now_ms=900)
    assert again.revision != first.revision
    rollout = harness.view.rollouts["s"]
    assert (rollout.revision, rollout.stored) == (again.revision, True)
    assert rollout.seen_ms == 7
    cached = harness.view.records["s"]
    assert cached.record.order_revision == again.revision
    assert cached.record.phase is RolloutPhase.ROLLED_BACK
    assert not cached.stored


def test_peer_in_an_older_era_gets_all_items_and_one_in_a_newer_none() -> None:
    harness = _Harness()
    harness.put("u", upstream("u"))
    harness.put("x", upstream("x"))
    older = harness.view.changes_after(StoreVersion(0, 50))
    assert older.complete
    assert {item.key for item in older.items} == {"u", "x"}
    assert not harness.view.changes_after(StoreVersion(2, 0)).items
    same = harness.view.changes_after(StoreVersion(1, 1))
    assert [item.key for item in same.items] == ["x"]
