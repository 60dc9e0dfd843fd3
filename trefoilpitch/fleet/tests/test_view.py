from __future__ import annotations

import time

import pytest

from trefoilpitch.fleet import (
    Change,
    Document,
    Evacuation,
    FleetView,
    Item,
    ItemBatch,
    Member,
    RolloutOrder,
    StoreVersion,
)
from trefoilpitch.fleet.tests.fakes import (
    InMemoryCodec,
    configuration,
    route,
    upstream,
)


class _ViewHarness:
    def __init__(self) -> None:
        self.codec = InMemoryCodec()
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
        removal = Item(key=key, value=None, revision=self.revision)
        self.apply(removal, now_ms, retain_until_ms=retain_until_ms)

    def apply(
        self, item: Item, now_ms: int = 0, *, retain_until_ms: int = 0
    ) -> None:
        batch = ItemBatch(items=(item,), revision=item.revision)
        self.view.apply(batch, now_ms, retain_until_ms=retain_until_ms)


def test_configuration_never_goes_back() -> None:
    harness = _ViewHarness()
    harness.put("config", configuration(7))
    harness.put("config", configuration(5))
    assert harness.view.configuration is not None
    assert harness.view.configuration.version == 7
    harness.remove("config")
    assert harness.view.configuration is not None


def test_older_item_of_a_key_is_ignored() -> None:
    harness = _ViewHarness()
    harness.put("u", upstream(version="v1"))
    stale = harness.codec.item("u", upstream(version="v0"), 1)
    harness.put("u", upstream(version="v2"))
    harness.apply(stale)
    assert harness.view.upstreams["u"].entry.version == "v2"


def test_removed_item_is_not_restored_by_a_stale_peer() -> None:
    harness = _ViewHarness()
    harness.put("u", upstream())
    stale = harness.view.changes_after(StoreVersion(0, 0)).items[0]
    harness.remove("u")
    harness.apply(stale)
    assert harness.view.upstreams == {}


def test_unreadable_entry_removes_only_its_own_upstream() -> None:
    harness = _ViewHarness()
    harness.put("u", upstream("u"))
    harness.put("x", upstream("x"))
    harness.apply(Item(key="u", value=b"broken", revision=9))
    assert set(harness.view.upstreams) == {"x"}
    assert "unreadable" in harness.changes[-1].summary


def test_removed_upstream_is_dropped_at_once() -> None:
    harness = _ViewHarness()
    harness.put("u", upstream())
    harness.remove("u")
    assert harness.view.upstreams == {}


def test_upstream_expired_in_an_outage_is_retained_for_two_seconds() -> None:
    harness = _ViewHarness()
    harness.put("u", upstream())
    harness.remove("u", now_ms=10_000, retain_until_ms=12_300)
    harness.view.expire(12_000)
    assert "u" in harness.view.upstreams
    harness.view.expire(12_500)
    assert harness.view.upstreams == {}


def test_removal_after_the_retention_period_is_immediate() -> None:
    """The store rejected this daemon until shortly before a scale-in."""
    harness = _ViewHarness()
    harness.put("u", upstream())
    harness.remove("u", now_ms=12_400, retain_until_ms=12_300)
    assert harness.view.upstreams == {}


def _member(name: str = "vm-2") -> Member:
    return Member(
        name=name,
        incarnation=f"{name}-start",
        caller_address="10.0.0.1:80",
        peer_host="10.0.0.1",
        peer_port=81,
        heartbeat_port=82,
        failure_domain="zone-a",
    )


def test_daemon_that_is_heard_stays_a_member_without_its_entry() -> None:
    """All leases end in a long outage of the store; the daemons go on."""
    harness = _ViewHarness()
    harness.put("m", _member())
    harness.remove("m", now_ms=10_000)
    harness.view.expire(10_000, heard={"vm-2"})
    assert set(harness.view.members) == {"vm-2"}
    assert not harness.view.is_listed("vm-2")
    harness.view.expire(30_000)
    assert harness.view.members == {}


def test_silent_member_that_expired_in_an_outage_may_register_again() -> None:
    harness = _ViewHarness()
    harness.put("m", _member())
    harness.remove("m", now_ms=10_000, retain_until_ms=12_300)
    harness.view.expire(12_000)
    assert set(harness.view.members) == {"vm-2"}
    harness.put("m", _member(), now_ms=12_100)
    harness.view.expire(20_000)
    assert harness.view.is_listed("vm-2")


def test_retained_upstream_that_registers_again_stays() -> None:
    harness = _ViewHarness()
    harness.put("u", upstream())
    harness.remove("u", now_ms=10_000, retain_until_ms=12_300)
    harness.put("u", upstream(), now_ms=11_000)
    harness.view.expire(20_000)
    assert harness.view.upstreams["u"].retain_until_ms is None


def test_listing_removes_keys_that_it_lacks() -> None:
    harness = _ViewHarness()
    harness.put("u", upstream("u"))
    harness.put("x", upstream("x"))
    kept = harness.codec.item("x", upstream("x"), 2)
    harness.view.load(ItemBatch(items=(kept,), revision=9), 0)
    assert set(harness.view.upstreams) == {"x"}
    assert harness.view.revision == 9


def test_listing_keeps_items_newer_than_itself() -> None:
    harness = _ViewHarness()
    harness.put("u", upstream("u"))
    harness.view.load(ItemBatch(items=(), revision=0), 0)
    assert set(harness.view.upstreams) == {"u"}


def test_peer_gets_changes_and_removals_after_its_revision() -> None:
    harness = _ViewHarness()
    harness.put("u", upstream("u"))
    harness.put("x", upstream("x"))
    harness.remove("u")
    peer = FleetView(harness.codec, lambda change: None)
    peer.apply(harness.view.changes_after(StoreVersion(0, 0)), 0)
    assert set(peer.upstreams) == {"x"}
    assert peer.revision == harness.view.revision
    assert [
        i.key for i in harness.view.changes_after(StoreVersion(0, 2)).items
    ] == ["u"]


def test_evacuation_and_rollout_follow_their_keys() -> None:
    harness = _ViewHarness()
    harness.put("e", Evacuation(failure_domain="domain-a"))
    order = RolloutOrder(service="s", target="v2", duration_ms=9)
    harness.put("o", order, now_ms=77)
    assert harness.view.evacuated == {"domain-a"}
    assert harness.view.rollouts["s"].seen_ms == 77
    harness.remove("e")
    harness.remove("o")
    assert harness.view.evacuated == set()
    assert harness.view.rollouts == {}


def test_cold_time_counts_from_the_registration() -> None:
    harness = _ViewHarness()
    harness.put("u", upstream(cold_left_ms=1_500), now_ms=100)
    assert harness.view.upstreams["u"].cold_until_ms == 1_600


@pytest.mark.parametrize("order", [("old", "new"), ("new", "old")])
def test_restarted_upstream_replaces_the_one_at_its_address(
    order: tuple[str, str],
) -> None:
    harness = _ViewHarness()
    started_ms = {"old": 1_000, "new": 2_000}
    for name in order:
        entry = upstream(name, port=5, started_wall_ms=started_ms[name])
        harness.put(name, entry)
    harness.put("other", upstream("other", port=6, started_wall_ms=3_000))
    assert set(harness.view.upstreams) == {"new", "other"}
    harness.remove("old")
    assert set(harness.view.upstreams) == {"new", "other"}


@pytest.mark.parametrize(
    ("path", "expected"),
    [("/a/x", "short"), ("/a/b/x", "long"), ("/c/", None), ("/a", None)],
)
def test_longest_prefix_of_the_host_wins(
    path: str, expected: str | None
) -> None:
    config = configuration(
        routes=(
            route(name="short", path_prefix="/a/"),
            route(name="long", path_prefix="/a/b/"),
            route(name="other", path_prefix="/a/b/", host="other.example"),
        )
    )
    found = config.match("host.example", path)
    assert (found.name if found else None) == expected


def test_listing_of_a_large_fleet_is_applied_in_linear_time() -> None:
    """All daemons of a fleet with thousands of upstreams start at once."""

    def seconds(count: int) -> float:
        harness = _ViewHarness()
        items = tuple(
            harness.codec.item(
                f"u{number}",
                upstream(f"u{number}", port=number, started_wall_ms=1_000),
                number + 1,
            )
            for number in range(count)
        )
        started = time.process_time()
        harness.view.load(ItemBatch(items=items, revision=count), 0)
        return time.process_time() - started

    small = min(seconds(400) for _ in range(3))
    large = min(seconds(4_000) for _ in range(3))
    assert large < 30 * small
