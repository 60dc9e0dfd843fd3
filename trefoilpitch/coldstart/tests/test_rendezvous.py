import collections
import dataclasses
from collections.abc import Mapping

import pytest

from trefoilpitch.bundle import Upstream
from trefoilpitch.coldstart import ColdStartSettings, create_roster
from trefoilpitch.coldstart.tests.simulation import create_member
from trefoilpitch.membership import Member, MembershipView, MemberState

SETTINGS = ColdStartSettings()


def member(
    index: int, changes: Mapping[str, object] | None = None, domain: str = "fd0"
) -> Member:
    base = create_member(f"vm{index}", "1", MemberState.ALIVE)
    changed = {"failure_domain": domain, **(changes or {})}
    return dataclasses.replace(base, **changed)  # type: ignore[arg-type]


def upstream(name: str = "u", domain: str = "fd0") -> Upstream:
    return Upstream(
        name=name, address="127.0.0.1:1", failure_domain=domain, capacity=8
    )


def view(*members: Member, unmatched_seeds: int = 0) -> MembershipView:
    return MembershipView(
        own_name="vm0",
        members=members,
        as_of_ms=0,
        last_contact_ms=0,
        is_settled=True,
        unmatched_seeds=unmatched_seeds,
    )


GONE = {"state": MemberState.GONE}
SUSPECT = {"state": MemberState.SUSPECT}
LEAVING = {"state": MemberState.LEAVING}
DEPARTED = {"state": MemberState.GONE, "has_departed": True}
UNCONFIRMED = {"is_confirmed": False}


@pytest.mark.parametrize(
    ("others", "unmatched_seeds", "expected"),
    [
        ([], 0, True),
        ([], 1, False),
        ([{}, GONE], 0, True),
        ([GONE], 0, False),
        ([SUSPECT], 0, False),
        ([UNCONFIRMED], 0, False),
        ([LEAVING], 0, True),
        ([DEPARTED, DEPARTED, DEPARTED], 0, True),
        ([{}, {}], 3, False),
    ],
)
def test_quorum_is_more_than_half_of_the_expected_members(
    others: list[Mapping[str, object]], unmatched_seeds: int, expected: bool
) -> None:
    members = [member(0)] + [
        member(index, changes) for index, changes in enumerate(others, start=1)
    ]
    roster = create_roster(
        view(*members, unmatched_seeds=unmatched_seeds), SETTINGS
    )
    assert roster.fleet.has_quorum is expected


@pytest.mark.parametrize(
    ("same_domain", "domains"), [(4, {"fd0", "fd1"}), (5, {"fd0"})]
)
def test_gatekeepers_are_in_the_upstreams_domain_if_it_has_enough_members(
    same_domain: int, domains: set[str]
) -> None:
    members = [member(index) for index in range(same_domain)]
    members += [member(index, domain="fd1") for index in range(10, 20)]
    roster = create_roster(view(*members), SETTINGS)
    chosen = {
        roster.gatekeeper_of(upstream(f"u{index}")) for index in range(200)
    }
    assert {m.failure_domain for m in chosen if m is not None} == domains


def test_gatekeepers_are_spread_and_unaffected_by_other_removals() -> None:
    members = [member(index) for index in range(10)]
    upstreams = [upstream(f"worker-{index}") for index in range(2_000)]
    before = create_roster(view(*members), SETTINGS)
    after = create_roster(view(*members[:-1]), SETTINGS)
    counts: collections.Counter[str] = collections.Counter()
    for each in upstreams:
        chosen = before.gatekeeper_of(each)
        assert chosen is not None
        counts[chosen.name] += 1
        if chosen.name != "vm9":
            assert after.gatekeeper_of(each) == chosen
    assert 140 < min(counts.values()) <= max(counts.values()) < 260


def test_predecessor_may_be_leaving() -> None:
    first = create_roster(view(member(0), member(1)), SETTINGS)
    names = [f"u{index}" for index in range(50)]
    name = next(
        name
        for name in names
        if (chosen := first.gatekeeper_of(upstream(name)))
        and chosen.name == "vm1"
    )
    roster = create_roster(view(member(0), member(1, LEAVING)), SETTINGS)
    assert roster.is_owner_gatekeeper(upstream(name))
    predecessor = roster.predecessor_of(upstream(name))
    assert predecessor is not None
    assert predecessor.name == "vm1"
