"""Bills of a node that crashes before it has written them to the store."""

import pytest

from trefoilpitch.daemon.tests.stateful.fleet import Fleet, SimNode
from trefoilpitch.ledger import Bill, BillLine
from trefoilpitch.peering import Link, LinkFaults

_BILL = Bill(
    request_id="r1",
    workspace="wide",
    subject="tag",
    ended_ms=0,
    lines=(
        BillLine(
            item="cheap@1",
            upstream="engine-a",
            prompt_tokens=1,
            output_tokens=2,
            cost_nano=3,
        ),
    ),
)
_MINUTE_MS = 60_000


def _home_and_holder(fleet: Fleet) -> tuple[SimNode, SimNode]:
    home = fleet.nodes["entry-a"]
    holder = home.core.ledger.copy_holder
    assert holder is not None
    by_address = {node.address: node for node in fleet.nodes.values()}
    return home, by_address[holder.address]


def _crash_before_bill_is_stored(fleet: Fleet, home: SimNode) -> None:
    fleet.store.set_down(True)
    home.core.ledger.record(_BILL)
    home.crash()
    del fleet.nodes[home.name]
    fleet.store.set_down(False)
    fleet.advance(_MINUTE_MS)


@pytest.mark.parametrize("cuts_outgoing", [True, False])
def test_unresponsive_holder_is_replaced_in_time(
    cuts_outgoing: bool,
) -> None:
    fleet = Fleet(seed=3)
    fleet.advance(_MINUTE_MS)
    home, holder = _home_and_holder(fleet)
    ends = (home.address, holder.address)
    link = Link(*(ends if cuts_outgoing else ends[::-1]))
    fleet.network.set_faults(link, LinkFaults(cut=True))
    _crash_before_bill_is_stored(fleet, home)
    assert fleet.bills() == ["r1"]
    counters = home.core.metrics.counters()
    assert counters["silent_copy_holders"] == 1
    assert "bills_unprotected" not in counters


def test_unresponsive_holder_is_kept_if_there_is_no_other() -> None:
    fleet = Fleet(seed=3)
    fleet.advance(_MINUTE_MS)
    home, _ = _home_and_holder(fleet)
    for node in fleet.nodes.values():
        link = Link(node.address, home.address)
        fleet.network.set_faults(link, LinkFaults(cut=True))
    _crash_before_bill_is_stored(fleet, home)
    assert home.core.metrics.counters()["bills_unprotected"] == 1
    # The copies were received; only their acknowledgements were lost.
    assert fleet.bills() == ["r1"]
