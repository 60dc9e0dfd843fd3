"""Two candidates for one lease control the same engines under faults.

Guards against orders sent after the lease was lost to the other candidate, and
against engines that do not reach their target versions once faults end.
"""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, rule
from returns.result import Result

from trefoilpitch.bundle import Upstream
from trefoilpitch.clock import ManualClock
from trefoilpitch.leases import LeaseManager, lease_manager, lease_terms
from trefoilpitch.orders import (
    EngineOrder,
    EngineStatus,
    OrderError,
    Reconciler,
    memory_engines,
    reconciler,
)
from trefoilpitch.orders.tests.fleet import NEW, OLD, fleet_configuration
from trefoilpitch.store import memory_store

_CANDIDATES = 2
_POLL_MS = 250
_SETTLE_MS = 240_000
_candidates = st.integers(0, _CANDIDATES - 1)


class _SendOrderCheck:
    """Asserts that no order is sent after one with a higher fencing number."""

    def __init__(self, clock: ManualClock) -> None:
        self.engines = memory_engines(clock, load_ms=2_000)
        self._highest = 0

    def read_status(
        self, upstream: Upstream
    ) -> Result[EngineStatus, OrderError]:
        return self.engines.read_status(upstream)

    def send_order(
        self, upstream: Upstream, order: EngineOrder
    ) -> Result[None, OrderError]:
        assert order.fencing_number >= self._highest
        self._highest = order.fencing_number
        return self.engines.send_order(upstream, order)


class OrderRace(RuleBasedStateMachine):
    """Orders are sent in the order of fencing numbers; engines converge."""

    checks_fencing = False

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.control = _SendOrderCheck(self.clock)
        self.store = memory_store(self.clock)
        self.clients = [self.store.new_client() for _ in range(_CANDIDATES)]
        self.managers = [self._manager(index) for index in range(_CANDIDATES)]
        self.reconcilers = [
            self._reconciler(manager) for manager in self.managers
        ]
        self._configure(frozenset())

    @rule(index=_candidates, polls=st.integers(1, 20))
    def run_alone(self, index: int, polls: int) -> None:
        """Runs one candidate while the other is paused."""
        for _ in range(polls):
            self.clock.advance(_POLL_MS)
            self._poll(index)

    @rule(polls=st.integers(1, 20))
    def run_all(self, polls: int) -> None:
        for _ in range(polls):
            self.clock.advance(_POLL_MS)
            for index in range(_CANDIDATES):
                self._poll(index)

    @rule(index=_candidates, down=st.booleans())
    def cut_off(self, index: int, down: bool) -> None:
        self.clients[index].set_down(down)

    @rule(index=_candidates, count=st.integers(1, 3))
    def lose_store_replies(self, index: int, count: int) -> None:
        self.clients[index].lose_replies(count)

    @rule(index=_candidates, revisions=st.integers(0, 2))
    def read_stale(self, index: int, revisions: int) -> None:
        self.clients[index].set_read_lag(revisions)

    @rule(count=st.integers(1, 2))
    def lose_orders(self, count: int) -> None:
        self.control.engines.lose_orders(count)

    @rule(count=st.integers(1, 2))
    def hold_orders(self, count: int) -> None:
        self.control.engines.hold_orders(count)

    @rule(repeat=st.booleans())
    def deliver_held(self, repeat: bool) -> None:
        self.control.engines.deliver_held(repeat=repeat)

    @rule()
    def restart_engine(self) -> None:
        self.control.engines.restart("engine-0")

    @rule(withdraw=st.booleans())
    def change_configuration(self, withdraw: bool) -> None:
        self._configure(frozenset({OLD}) if withdraw else frozenset())

    def teardown(self) -> None:
        """Ends the faults and checks that the engines serve their targets."""
        self.control.engines.deliver_held()
        self.control.engines.lose_orders(0)
        self.control.engines.hold_orders(0)
        for client in self.clients:
            client.set_down(False)
            client.lose_replies(0)
            client.set_read_lag(0)
        self._configure(frozenset({NEW}))
        for _ in range(_SETTLE_MS // _POLL_MS):
            self.run_all(1)
        for name in ("engine-0", "engine-1"):
            assert self.control.engines.status(name).loaded == {OLD}

    def _configure(self, withdrawn: frozenset[object]) -> None:
        configuration = fleet_configuration(
            engines=2, checks_fencing=self.checks_fencing, withdrawn=withdrawn
        )
        for subject in self.reconcilers:
            subject.set_configuration(configuration)

    def _poll(self, index: int) -> None:
        self.managers[index].poll()
        self.reconcilers[index].poll()

    def _manager(self, index: int) -> LeaseManager:
        return lease_manager(
            store=self.clients[index],
            clock=self.clock,
            key="leases/orders",
            terms=lease_terms(f"vm-{index}", validity_ms=3_000),
        )

    def _reconciler(self, manager: LeaseManager) -> Reconciler:
        return reconciler(
            control=self.control,
            clock=self.clock,
            fencing_number=manager.fencing_number,
        )


class CheckedOrderRace(OrderRace):
    """The same race over engines that refuse old fencing numbers."""

    checks_fencing = True


_SETTINGS = settings(
    derandomize=True, deadline=None, max_examples=30, stateful_step_count=30
)
TestOrderRace = OrderRace.TestCase
TestOrderRace.settings = _SETTINGS
TestCheckedOrderRace = CheckedOrderRace.TestCase
TestCheckedOrderRace.settings = _SETTINGS
