import collections
import dataclasses

import pytest

from trefoilpitch.configuration import Configuration
from trefoilpitch.entries import NoEntriesReason, choose_entries
from trefoilpitch.membership import (
    Endpoints,
    Member,
    MembershipView,
    MemberState,
    Report,
)

NOW_MS = 100_000
IN_SERVICE = Configuration()


def create_member(index: int, share: float = 0.0) -> Member:
    name = f"vm{index}"
    return Member(
        name=name,
        incarnation="1",
        failure_domain=f"fd{index % 3}",
        endpoints=Endpoints(
            caller_address=f"{name}:2",
            admin_address=f"{name}:3",
            peer_address=f"{name}:1",
        ),
        state=MemberState.ALIVE,
        report=Report(in_flight_share=share),
        report_ms=NOW_MS,
    )


def create_fleet(*members: Member) -> MembershipView:
    return MembershipView(
        own_name="vm0",
        members=members,
        as_of_ms=NOW_MS,
        last_contact_ms=NOW_MS,
        is_settled=True,
    )


MEMBERS = tuple(create_member(index) for index in range(9))


@pytest.mark.parametrize(
    "change",
    [
        {"state": MemberState.SUSPECT},
        {"state": MemberState.LEAVING},
        {"state": MemberState.GONE},
        {"is_confirmed": False},
    ],
)
def test_only_live_members_are_chosen(change: dict[str, object]) -> None:
    ineligible = dataclasses.replace(MEMBERS[4], **change)  # type: ignore[arg-type]
    view = create_fleet(*MEMBERS[:4], ineligible, *MEMBERS[5:])
    for seed in range(200):
        entries = choose_entries(view, IN_SERVICE, None, NOW_MS, seed).entries
        assert len(entries) == 4
        assert "vm4" not in {entry.name for entry in entries}


@pytest.mark.parametrize(
    ("configuration", "out"),
    [
        (Configuration(vms_out=frozenset({"vm4"})), {"vm4"}),
        (
            Configuration(failure_domains_out=frozenset({"fd1"})),
            {"vm1", "vm4", "vm7"},
        ),
    ],
)
def test_members_out_of_service_are_never_chosen(
    configuration: Configuration, out: set[str]
) -> None:
    view = create_fleet(*MEMBERS)
    for local_domain in (None, "fd0", "fd1"):
        for seed in range(200):
            chosen = choose_entries(
                view, configuration, local_domain, NOW_MS, seed
            )
            assert not out & {entry.name for entry in chosen.entries}
            assert chosen.entries


@pytest.mark.parametrize("local_domain", [None, "fd0", "fd1", "elsewhere"])
def test_candidates_span_two_failure_domains(local_domain: str | None) -> None:
    same_domain = [
        dataclasses.replace(create_member(index), failure_domain="fd0")
        for index in range(30)
    ]
    view = create_fleet(*same_domain, create_member(31))
    for seed in range(200):
        entries = choose_entries(
            view, IN_SERVICE, local_domain, NOW_MS, seed
        ).entries
        assert {entry.failure_domain for entry in entries} == {"fd0", "fd1"}
        assert len({entry.name for entry in entries}) == 4


def test_first_entry_is_drawn_by_free_capacity() -> None:
    shares = (0.0, 0.5, 0.9, 1.0)
    view = create_fleet(
        *(create_member(index, share) for index, share in enumerate(shares))
    )
    first = collections.Counter(
        choose_entries(view, IN_SERVICE, None, NOW_MS, seed).entries[0].name
        for seed in range(3_000)
    )
    assert first["vm0"] > first["vm1"] > first["vm2"] > first["vm3"] > 0
    assert 1.7 < first["vm0"] / first["vm1"] < 2.3


def test_local_failure_domain_ranks_first_unless_much_busier() -> None:
    busy_local = [
        create_member(index, 0.9 if index % 3 == 0 else 0.1)
        for index in range(9)
    ]
    for members, expected in ((MEMBERS, {"fd0"}), (busy_local, None)):
        view = create_fleet(*members)
        first = {
            choose_entries(view, IN_SERVICE, "fd0", NOW_MS, seed)
            .entries[0]
            .failure_domain
            for seed in range(100)
        }
        assert first == (expected or {"fd0", "fd1", "fd2"})


def test_mean_load_replaces_an_old_report() -> None:
    stale_idle = dataclasses.replace(MEMBERS[0], report_ms=0)
    busy = [create_member(index, 0.8) for index in (1, 2)]
    view = create_fleet(stale_idle, *busy)
    first = collections.Counter(
        choose_entries(view, IN_SERVICE, None, NOW_MS, seed).entries[0].name
        for seed in range(3_000)
    )
    assert first["vm0"] < 1.2 * first["vm1"]


@pytest.mark.parametrize(
    ("members", "configuration", "now_ms", "reason"),
    [
        (MEMBERS, IN_SERVICE, NOW_MS + 2_001, NoEntriesReason.STALE_VIEW),
        ((), IN_SERVICE, NOW_MS, NoEntriesReason.NO_LIVE_MEMBER),
        (
            MEMBERS[:1],
            Configuration(vms_out=frozenset({"vm0"})),
            NOW_MS,
            NoEntriesReason.ALL_TAKEN_OUT,
        ),
    ],
)
def test_empty_list_has_a_reason(
    members: tuple[Member, ...],
    configuration: Configuration,
    now_ms: int,
    reason: NoEntriesReason,
) -> None:
    chosen = choose_entries(
        create_fleet(*members), configuration, None, now_ms, 1
    )
    assert chosen.entries == ()
    assert chosen.reason is reason
