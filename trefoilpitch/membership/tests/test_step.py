import pytest

from trefoilpitch.membership import (
    Departed,
    LeaveRequested,
    MemberState,
    Report,
    ReportChanged,
)
from trefoilpitch.membership.tests.fleet import Fleet, address_of
from trefoilpitch.peering import Link, LinkFaults


@pytest.mark.parametrize("size", [2, 6, 9, 27])
def test_members_discover_each_other(size: int) -> None:
    fleet = Fleet(size)
    fleet.run(6_000)
    for name in fleet.nodes:
        view = fleet.view(name)
        assert len(view.members) == size
        assert all(member.is_eligible for member in view.members)
        assert view.is_settled


def test_crashed_member_is_detected_and_removed_once_unlisted() -> None:
    fleet = Fleet(9)
    fleet.run(6_000)
    fleet.crash("vm4")
    fleet.run(6_000)
    assert MemberState.ALIVE not in fleet.observed_states("vm4")
    fleet.run(6_000)
    assert fleet.observed_states("vm4") == {MemberState.GONE}
    fleet.run(130_000, step_ms=50)
    # Still on the VM list, so the longer retention period applies.
    assert fleet.observed_states("vm4") == {MemberState.GONE}
    fleet.set_vm_list(name for name in fleet.nodes)
    fleet.run(10_000, step_ms=50)
    assert fleet.observed_states("vm4") == {None}


def test_one_way_link_loss_does_not_change_member_states() -> None:
    fleet = Fleet(9)
    fleet.run(6_000)
    fleet.network.set_faults(
        Link(address_of("vm1"), address_of("vm2")), LinkFaults(cut=True)
    )
    for _ in range(60):
        fleet.run(500)
        assert fleet.observed_states("vm1") == {MemberState.ALIVE}
        assert fleet.observed_states("vm2") == {MemberState.ALIVE}


def test_resumed_member_refutes_gone_with_the_same_incarnation() -> None:
    fleet = Fleet(9)
    fleet.run(6_000)
    incarnation = fleet.view("vm0").by_name["vm4"].incarnation
    fleet.pause("vm4", 20_000)
    fleet.run(15_000)
    assert fleet.observed_states("vm4") == {MemberState.GONE}
    fleet.run(15_000)
    assert fleet.observed_states("vm4") == {MemberState.ALIVE}
    assert fleet.view("vm0").by_name["vm4"].incarnation == incarnation


def test_resumed_member_does_not_suspect_its_peers() -> None:
    fleet = Fleet(9)
    fleet.run(6_000)
    fleet.pause("vm4", 20_000)
    for _ in range(80):
        fleet.run(500)
        for name in fleet.nodes:
            if name != "vm4":
                assert fleet.observed_states(name) == {MemberState.ALIVE}


def test_resumed_and_partitioned_member_suspects_nobody() -> None:
    fleet = Fleet(9)
    fleet.run(6_000)
    fleet.network.partition((address_of("vm4"),))
    fleet.pause("vm4", 20_000)
    fleet.run(500)
    fleet.crash("vm5")
    fleet.run(19_900)
    # Records from before the pause are unconfirmed.
    view = fleet.view("vm4")
    assert [m.name for m in view.members if m.is_eligible] == ["vm4"]
    fleet.network.heal()
    others = [name for name in fleet.nodes if name != "vm4"]
    for _ in range(80):
        fleet.run(100)
        for name in others:
            assert fleet.observed_states(name) == {MemberState.ALIVE}
    assert not fleet.view("vm4").by_name["vm5"].is_eligible


def test_replaced_vm_is_a_new_incarnation() -> None:
    fleet = Fleet(9)
    fleet.run(6_000)
    before = fleet.view("vm0").by_name["vm4"].incarnation
    fleet.start("vm4")
    fleet.run(6_000)
    after = {
        fleet.view(name).by_name["vm4"].incarnation for name in fleet.nodes
    }
    assert len(after) == 1
    assert after > {before} or min(after) > before
    assert fleet.observed_states("vm4") == {MemberState.ALIVE}


def test_leaving_member_stays_leaving_until_it_departs() -> None:
    fleet = Fleet(9)
    fleet.run(6_000)
    fleet.nodes["vm4"].host.handle(LeaveRequested())
    fleet.run(1_500)
    assert fleet.observed_states("vm4") == {MemberState.LEAVING}
    fleet.run(20_000)
    assert fleet.observed_states("vm4") == {MemberState.LEAVING}
    fleet.nodes["vm4"].host.handle(Departed())
    fleet.crash("vm4")
    fleet.run(1_500)
    assert fleet.observed_states("vm4") == {MemberState.GONE}
    assert fleet.view("vm0").by_name["vm4"].has_departed


def test_partitioned_members_rediscover_each_other_after_healing() -> None:
    fleet = Fleet(9)
    fleet.run(6_000)
    side = tuple(address_of(f"vm{index}") for index in range(3))
    fleet.network.partition(side)
    fleet.run(200_000, step_ms=50)
    assert fleet.observed_state("vm0", "vm8") is MemberState.GONE
    fleet.network.heal()
    fleet.run(60_000, step_ms=50)
    for name in fleet.nodes:
        assert fleet.observed_states(name) == {MemberState.ALIVE}


def test_reports_reach_every_member() -> None:
    fleet = Fleet(100)
    fleet.run(6_000)
    report = Report(in_flight_share=0.5, configuration_revision=7)
    fleet.nodes["vm4"].host.handle(ReportChanged(report))
    fleet.run(6_000)
    for name in fleet.nodes:
        assert fleet.view(name).by_name["vm4"].report == report


def test_lossy_network_makes_no_member_gone() -> None:
    faults = LinkFaults(drop=0.1, duplicate=0.1, max_delay_ms=150)
    fleet = Fleet(9, faults=faults)
    fleet.run(10_000)
    gone = 0
    for _ in range(60):
        fleet.run(1_000)
        for name in fleet.nodes:
            gone += MemberState.GONE in fleet.observed_states(name)
    assert gone == 0


def test_older_process_of_a_vm_is_superseded() -> None:
    fleet = Fleet(3)
    fleet.run(6_000)
    older = fleet.nodes["vm0"]
    fleet.start("vm0")
    newer = fleet.view("vm0").own
    fleet.run(3_000)
    fleet.nodes["vm0"] = older
    fleet.run(3_000)
    assert ("vm0", newer.incarnation) in fleet.superseded


def test_message_count_and_size_do_not_grow_with_the_fleet() -> None:
    fleet = Fleet(60)
    fleet.run(8_000)
    before = [node.transport.counters() for node in fleet.nodes.values()]
    fleet.run(5_000)
    after = [node.transport.counters() for node in fleet.nodes.values()]
    for first, last in zip(before, after, strict=True):
        messages = last.messages_sent - first.messages_sent
        assert messages <= 6 * 5
        assert last.bytes_sent - first.bytes_sent < 2_000 * messages
