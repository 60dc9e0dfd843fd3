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
def test_members_find_each_other(size: int) -> None:
    fleet = Fleet(size)
    fleet.run(6_000)
    for name in fleet.nodes:
        view = fleet.view(name)
        assert len(view.members) == size
        assert all(member.is_eligible for member in view.members)
        assert view.is_settled


def test_crash_is_detected_and_then_forgotten() -> None:
    fleet = Fleet(9)
    fleet.run(6_000)
    fleet.crash("vm4")
    fleet.run(6_000)
    assert MemberState.ALIVE not in fleet.states("vm4")
    fleet.run(6_000)
    assert fleet.states("vm4") == {MemberState.GONE}
    fleet.run(130_000, step_ms=50)
    # The VM list still names it.
    assert fleet.states("vm4") == {MemberState.GONE}
    fleet.list_vms(name for name in fleet.nodes)
    fleet.run(10_000, step_ms=50)
    assert fleet.states("vm4") == {None}


def test_one_way_loss_between_two_members_does_not_flap() -> None:
    fleet = Fleet(9)
    fleet.run(6_000)
    fleet.network.set_faults(
        Link(address_of("vm1"), address_of("vm2")), LinkFaults(cut=True)
    )
    for _ in range(60):
        fleet.run(500)
        assert fleet.states("vm1") == {MemberState.ALIVE}
        assert fleet.states("vm2") == {MemberState.ALIVE}


def test_paused_member_refutes_within_its_incarnation() -> None:
    fleet = Fleet(9)
    fleet.run(6_000)
    incarnation = fleet.view("vm0").by_name["vm4"].incarnation
    fleet.pause("vm4", 20_000)
    fleet.run(15_000)
    assert fleet.states("vm4") == {MemberState.GONE}
    fleet.run(15_000)
    assert fleet.states("vm4") == {MemberState.ALIVE}
    assert fleet.view("vm0").by_name["vm4"].incarnation == incarnation


def test_pause_does_not_make_a_member_suspect_its_peers() -> None:
    fleet = Fleet(9)
    fleet.run(6_000)
    fleet.pause("vm4", 20_000)
    for _ in range(80):
        fleet.run(500)
        for name in fleet.nodes:
            if name != "vm4":
                assert fleet.states(name) == {MemberState.ALIVE}


def test_woken_member_that_missed_everything_accuses_nobody() -> None:
    fleet = Fleet(9)
    fleet.run(6_000)
    fleet.network.partition((address_of("vm4"),))
    fleet.pause("vm4", 20_000)
    fleet.run(500)
    fleet.crash("vm5")
    fleet.run(19_900)
    # Nothing that it knew from before the pause counts yet.
    view = fleet.view("vm4")
    assert [m.name for m in view.members if m.is_eligible] == ["vm4"]
    fleet.network.heal()
    others = [name for name in fleet.nodes if name != "vm4"]
    for _ in range(80):
        fleet.run(100)
        for name in others:
            assert fleet.states(name) == {MemberState.ALIVE}
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
    assert fleet.states("vm4") == {MemberState.ALIVE}


def test_leaving_is_announced_and_final() -> None:
    fleet = Fleet(9)
    fleet.run(6_000)
    fleet.nodes["vm4"].host.handle(LeaveRequested())
    fleet.run(1_500)
    assert fleet.states("vm4") == {MemberState.LEAVING}
    fleet.run(20_000)
    assert fleet.states("vm4") == {MemberState.LEAVING}
    fleet.nodes["vm4"].host.handle(Departed())
    fleet.crash("vm4")
    fleet.run(1_500)
    assert fleet.states("vm4") == {MemberState.GONE}
    assert fleet.view("vm0").by_name["vm4"].has_departed


def test_sides_of_a_partition_find_each_other_again() -> None:
    fleet = Fleet(9)
    fleet.run(6_000)
    side = tuple(address_of(f"vm{index}") for index in range(3))
    fleet.network.partition(side)
    fleet.run(200_000, step_ms=50)
    assert fleet.state_seen("vm0", "vm8") is MemberState.GONE
    fleet.network.heal()
    fleet.run(60_000, step_ms=50)
    for name in fleet.nodes:
        assert fleet.states(name) == {MemberState.ALIVE}


def test_reports_reach_every_member() -> None:
    fleet = Fleet(100)
    fleet.run(6_000)
    report = Report(in_flight_share=0.5, configuration_revision=7)
    fleet.nodes["vm4"].host.handle(ReportChanged(report))
    fleet.run(6_000)
    for name in fleet.nodes:
        assert fleet.view(name).by_name["vm4"].report == report


def test_lossy_network_keeps_every_member() -> None:
    faults = LinkFaults(drop=0.1, duplicate=0.1, max_delay_ms=150)
    fleet = Fleet(9, faults=faults)
    fleet.run(10_000)
    gone = 0
    for _ in range(60):
        fleet.run(1_000)
        for name in fleet.nodes:
            gone += MemberState.GONE in fleet.states(name)
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


def test_messages_stay_small_however_large_the_fleet() -> None:
    fleet = Fleet(60)
    fleet.run(8_000)
    before = [node.transport.counters() for node in fleet.nodes.values()]
    fleet.run(5_000)
    after = [node.transport.counters() for node in fleet.nodes.values()]
    for first, last in zip(before, after, strict=True):
        messages = last.messages_sent - first.messages_sent
        assert messages <= 6 * 5
        assert last.bytes_sent - first.bytes_sent < 2_000 * messages
