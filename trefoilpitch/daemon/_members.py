"""Runs the membership protocol and reads the VM list."""

from __future__ import annotations

from collections.abc import Callable

import pykka
from returns.result import Success

from trefoilpitch.clock import Clock
from trefoilpitch.membership import (
    MembershipHost,
    MembershipMessage,
    MessageReceived,
    Report,
    ReportChanged,
    SeedsChanged,
)
from trefoilpitch.membership import Tick as MembershipTick
from trefoilpitch.metrics import Metrics
from trefoilpitch.peering import ReceivedMessage
from trefoilpitch.supervision import Tick
from trefoilpitch.vms import Vm, VmList, VmState

MEMBERSHIP_TICK_MS = 200
VM_LIST_TICK_MS = 2_000

_VIEW_INTERVAL_MS = 500
_REPORT_INTERVAL_MS = 1_000


class MembershipActor(pykka.ThreadingActor):
    """Passes ticks and messages to the membership protocol.

    Args:
        host: Runs the protocol; outlives the actor.
        report: Returns the report that is distributed to other nodes.
        clock: Schedules reports and view updates.
    """

    def __init__(
        self,
        host: MembershipHost,
        report: Callable[[], Report],
        clock: Clock,
    ) -> None:
        super().__init__()
        self._host = host
        self._report = report
        self._clock = clock
        self._view_due_ms = 0
        self._report_due_ms = 0

    def on_receive(self, message: object) -> None:
        """Handles a tick, a peer's message, or an event of the protocol."""
        if isinstance(message, Tick):
            self._tick()
        elif isinstance(message, ReceivedMessage):
            self._host.handle(_to_event(message))
        else:
            self._host.handle(message)  # type: ignore[arg-type]

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms >= self._report_due_ms:
            self._report_due_ms = now_ms + _REPORT_INTERVAL_MS
            self._host.handle(ReportChanged(self._report()))
        self._host.handle(MembershipTick())
        if now_ms >= self._view_due_ms:
            self._view_due_ms = now_ms + _VIEW_INTERVAL_MS
            self._host.refresh_view()


def _to_event(message: ReceivedMessage) -> MessageReceived:
    payload = message.payload
    assert isinstance(payload, MembershipMessage)
    return MessageReceived(message.sender, message.address, payload)


class VmListActor(pykka.ThreadingActor):
    """Fetches the platform's list of VMs on each tick.

    Args:
        vm_list: The platform's list.
        on_seeds: Called with the peer addresses when they change.
        on_leaving: Called with the names of leaving VMs after each read.
        metrics: Counts failed reads.
    """

    def __init__(
        self,
        vm_list: VmList,
        on_seeds: Callable[[SeedsChanged], None],
        on_leaving: Callable[[frozenset[str]], None],
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._vm_list = vm_list
        self._on_seeds = on_seeds
        self._on_leaving = on_leaving
        self._metrics = metrics
        self._addresses: tuple[str, ...] = ()

    def on_receive(self, message: object) -> None:
        """Reads the list and passes it to the callbacks."""
        if not isinstance(message, Tick):
            return
        read = self._vm_list.read()
        if not isinstance(read, Success):
            self._metrics.count("vm_list_failures")
            return
        vms: tuple[Vm, ...] = read.unwrap()
        leaving = [vm.name for vm in vms if vm.state is VmState.LEAVING]
        self._on_leaving(frozenset(leaving))
        addresses = tuple(vm.address for vm in vms)
        if addresses != self._addresses:
            self._addresses = addresses
            self._on_seeds(SeedsChanged(addresses))
