from __future__ import annotations

import pytest

from trefoilpitch.fleet import (
    Change,
    Document,
    Evacuation,
    FleetView,
    Item,
    ItemBatch,
    RolloutOrder,
)
from trefoilpitch.fleet.tests.fakes import (
    TableCodec,
    configuration,
    route,
    upstream,
)


class _World:
    def __init__(self) -> None:
        self.codec = TableCodec()
        self.changes: list[Change] = []
        self.view = FleetView(self.codec, self.changes.append)
        self.revision = 0

    def put(self, key: str, document: Document, now_ms: int = 0) -> None:
        self.revision += 1
        self.apply(self.codec.item(key, document, self.revision), now_ms)

    def remove(
        self, key: str, now_ms: int = 0, *, retain_until_ms: int = 0
    ) -> None:
        self.revision += 1
        gone = Item(key=key, value=None, revision=self.revision)
        self.apply(gone, now_ms, retain_until_ms=retain_until_ms)

    def apply(
        self, item: Item, now_ms: int = 0, *, retain_until_ms: int = 0
    ) -> None:
        batch = ItemBatch(items=(item,), revision=item.revision)
        self.view.apply(batch, now_ms, retain_until_ms=retain_until_ms)


def test_configuration_never_goes_back() -> None:
    world = _World()
    world.put("config", configuration(7))
    world.put("config", configuration(5))
    assert world.view.configuration is not None
    assert world.view.configuration.version == 7
    world.remove("config")
    assert world.view.configuration is not None


def test_late_item_of_a_key_is_ignored() -> None:
    world = _World()
    world.put("u", upstream(version="v1"))
    old = world.codec.item("u", upstream(version="v0"), 1)
    world.put("u", upstream(version="v2"))
    world.apply(old)
    assert world.view.upstreams["u"].entry.version == "v2"


def test_item_that_was_removed_does_not_come_back_from_a_peer() -> None:
    world = _World()
    world.put("u", upstream())
    behind = world.view.items_after(0).items[0]
    world.remove("u")
    world.apply(behind)
    assert world.view.upstreams == {}


def test_unreadable_entry_names_no_upstream_and_others_hold() -> None:
    world = _World()
    world.put("u", upstream("u"))
    world.put("x", upstream("x"))
    world.apply(Item(key="u", value=b"broken", revision=9))
    assert set(world.view.upstreams) == {"x"}
    assert "unreadable" in world.changes[-1].summary


def test_removed_upstream_is_gone_at_once() -> None:
    world = _World()
    world.put("u", upstream())
    world.remove("u")
    assert world.view.upstreams == {}


def test_lapsed_upstream_is_believed_in_for_two_seconds() -> None:
    world = _World()
    world.put("u", upstream())
    world.remove("u", now_ms=10_000, retain_until_ms=12_300)
    world.view.expire(12_000)
    assert "u" in world.view.upstreams
    world.view.expire(12_500)
    assert world.view.upstreams == {}


def test_removal_long_after_an_outage_is_no_lapse() -> None:
    """A daemon that was turned away until shortly before a scale-in."""
    world = _World()
    world.put("u", upstream())
    world.remove("u", now_ms=12_400, retain_until_ms=12_300)
    assert world.view.upstreams == {}


def test_lapsed_upstream_that_returns_stays() -> None:
    world = _World()
    world.put("u", upstream())
    world.remove("u", now_ms=10_000, retain_until_ms=12_300)
    world.put("u", upstream(), now_ms=11_000)
    world.view.expire(20_000)
    assert world.view.upstreams["u"].retain_until_ms is None


def test_listing_removes_what_it_lacks() -> None:
    world = _World()
    world.put("u", upstream("u"))
    world.put("x", upstream("x"))
    kept = world.codec.item("x", upstream("x"), 2)
    world.view.load(ItemBatch(items=(kept,), revision=9), 0)
    assert set(world.view.upstreams) == {"x"}
    assert world.view.revision == 9


def test_listing_keeps_what_is_newer_than_itself() -> None:
    world = _World()
    world.put("u", upstream("u"))
    world.view.load(ItemBatch(items=(), revision=0), 0)
    assert set(world.view.upstreams) == {"u"}


def test_peer_gets_changes_and_removals_after_its_revision() -> None:
    world = _World()
    world.put("u", upstream("u"))
    world.put("x", upstream("x"))
    world.remove("u")
    peer = FleetView(world.codec, lambda change: None)
    peer.apply(world.view.items_after(0), 0)
    assert set(peer.upstreams) == {"x"}
    assert peer.revision == world.view.revision
    assert [i.key for i in world.view.items_after(2).items] == ["u"]


def test_evacuation_and_rollout_follow_their_keys() -> None:
    world = _World()
    world.put("e", Evacuation(failure_domain="domain-a"))
    order = RolloutOrder(service="s", target="v2", duration_ms=9)
    world.put("o", order, now_ms=77)
    assert world.view.evacuated == {"domain-a"}
    assert world.view.rollouts["s"].seen_ms == 77
    world.remove("e")
    world.remove("o")
    assert world.view.evacuated == set()
    assert world.view.rollouts == {}


def test_cold_time_runs_from_the_entry() -> None:
    world = _World()
    world.put("u", upstream(cold_left_ms=1_500), now_ms=100)
    assert world.view.upstreams["u"].cold_until_ms == 1_600


@pytest.mark.parametrize(
    ("path", "expected"),
    [("/a/x", "short"), ("/a/b/x", "long"), ("/c/", None), ("/a", None)],
)
def test_longest_prefix_of_the_host_wins(
    path: str, expected: str | None
) -> None:
    known = configuration(
        routes=(
            route(name="short", path_prefix="/a/"),
            route(name="long", path_prefix="/a/b/"),
            route(name="other", path_prefix="/a/b/", host="other.example"),
        )
    )
    found = known.match("host.example", path)
    assert (found.name if found else None) == expected
