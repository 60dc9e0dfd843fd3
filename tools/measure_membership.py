"""Measures the membership protocol on the in-memory transport.

For several fleet sizes: bytes and messages a second that one daemon sends,
the processor time that its protocol takes, and how long a crash and an
announced shutdown take to reach every other view.
"""

from __future__ import annotations

import argparse
import dataclasses
import functools
import json
import random
import sys
import time
from collections.abc import Sequence
from typing import cast

from trefoilpitch.clock import ManualClock
from trefoilpitch.membership import (
    PAYLOAD_KINDS,
    Endpoints,
    LeaveRequested,
    MembershipHost,
    MembershipMessage,
    MemberState,
    MessageReceived,
    Report,
    ReportChanged,
    Tick,
    create_membership,
)
from trefoilpitch.peering import (
    LinkFaults,
    MemoryNetwork,
    MemoryTransport,
    PeerIdentity,
    PeerKeys,
    ReceivedMessage,
    create_payload_registry,
)

SIZES = (9, 27, 81, 390)
STEP_MS = 20
TICK_MS = 200
REPORT_INTERVAL_MS = 2_000
DOMAINS = 9
STEADY_MS = 20_000
SETTLE_LIMIT_MS = 60_000
EVENT_LIMIT_MS = 30_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Measurement:
    """The figures of one fleet size."""

    # Daemons in the fleet, and the time from their start until every view is
    # complete.
    nodes: int
    formed_ms: int
    # Sent by one daemon while nothing changes: mean and the busiest one.
    bytes_per_s_mean: int
    bytes_per_s_max: int
    messages_per_s_mean: float
    # Processor time of one daemon's protocol with encoding and checking of
    # messages, in percent of a core.
    cpu_percent: float
    # Most neighbours of a daemon.
    neighbours_max: int
    # Age of the reports in all views.
    report_age_p50_ms: int
    report_age_p99_ms: int
    # From a crash, or the announcement of an end, until another view no longer
    # offers the member.
    crash_p50_ms: int
    crash_p99_ms: int
    leave_p50_ms: int
    leave_p99_ms: int
    # Members wrongly held not to be alive during the whole run.
    false_suspicions: int


class Fleet:
    """Daemons on one manual clock.

    Args:
        size: How many.
        seed: Varies the times at which daemons tick.
    """

    def __init__(self, size: int, seed: int) -> None:
        self._random = random.Random(seed)
        self._clock = ManualClock(1_000)
        faults = LinkFaults(min_delay_ms=1, max_delay_ms=60)
        self._network = MemoryNetwork(self._clock, seed=seed, faults=faults)
        self._registry = create_payload_registry(PAYLOAD_KINDS)
        self.hosts: dict[str, MembershipHost] = {}
        self.transports: dict[str, MemoryTransport] = {}
        self._next_tick_ms: dict[str, int] = {}
        self._names = [f"vm{index:03d}" for index in range(size)]
        for name in self._names:
            self._start(name)

    @property
    def now_ms(self) -> int:
        """The time on the fleet's clock."""
        return self._clock.now_ms()

    def step(self) -> None:
        """Lets one step of time pass."""
        self._clock.advance(STEP_MS)
        self._network.deliver_due()
        for name, host in self.hosts.items():
            if self.now_ms >= self._next_tick_ms[name]:
                self._next_tick_ms[name] += TICK_MS
                if self._next_tick_ms[name] % REPORT_INTERVAL_MS < TICK_MS:
                    share = self._random.random()
                    report = Report(in_flight_share=share)
                    host.handle(ReportChanged(report))
                host.handle(Tick())

    def run(self, for_ms: int) -> None:
        """Lets time pass."""
        for _ in range(for_ms // STEP_MS):
            self.step()

    def crash(self, name: str) -> None:
        """Ends a daemon without a word."""
        self.transports.pop(name).close()
        del self.hosts[name]

    def is_offered(self, observer: str, name: str) -> bool:
        """Tells whether an observer's view holds a member for alive."""
        peer = self.hosts[observer].state.peers.get(name)
        return peer is not None and (
            peer.record.state == MemberState.ALIVE.value
        )

    def _start(self, name: str) -> None:
        index = len(self.hosts)
        address = f"10.0.{index // 250}.{index % 250}:7100"
        identity = PeerIdentity(
            deployment="measurement",
            name=name,
            incarnation=f"{self.now_ms:012x}-{index:08x}",
            address=address,
        )
        transport = self._network.attach(
            identity,
            keys=PeerKeys(current=b"measurement"),
            registry=self._registry,
            handler=functools.partial(self._receive, name),
        )
        state = create_membership(
            name=name,
            incarnation=identity.incarnation,
            failure_domain=f"fd{index % DOMAINS}",
            endpoints=Endpoints(
                caller_address=address.replace("7100", "7101"),
                admin_address=address.replace("7100", "7102"),
                peer_address=address,
            ),
            now_ms=self.now_ms,
            seeds=tuple(
                f"10.0.{other // 250}.{other % 250}:7100"
                for other in range(len(self._names))
            ),
        )
        self.hosts[name] = MembershipHost(
            self._clock, state, transport, lambda incarnation: None
        )
        self.transports[name] = transport
        self._next_tick_ms[name] = self.now_ms + self._random.randrange(TICK_MS)

    def _receive(self, name: str, message: ReceivedMessage) -> None:
        host = self.hosts.get(name)
        if host is not None:
            payload = cast(MembershipMessage, message.payload)
            host.handle(
                MessageReceived(message.sender, message.address, payload)
            )


def measure(size: int, events: int, seed: int) -> Measurement:
    """Measures a fleet of one size.

    Args:
        size: Daemons in the fleet.
        events: Crashes and announced shutdowns, each.
        seed: Varies the run.
    """
    fleet = Fleet(size, seed)
    formed_ms = _wait_until_formed(fleet)
    fleet.run(10_000)
    before = [t.counters() for t in fleet.transports.values()]
    began_s = time.process_time()
    fleet.run(STEADY_MS)
    cpu_s = time.process_time() - began_s
    after = [t.counters() for t in fleet.transports.values()]
    pairs = list(zip(before, after, strict=True))
    sent = [b.bytes_sent - a.bytes_sent for a, b in pairs]
    messages = [b.messages_sent - a.messages_sent for a, b in pairs]
    steady_s = STEADY_MS / 1_000
    ages = _report_ages(fleet)
    false_suspicions = _count_suspicions(fleet)
    names = list(fleet.hosts)
    crashes = _delays(fleet, names[:events], is_crash=True)
    leaves = _delays(fleet, names[events : 2 * events], is_crash=False)
    return Measurement(
        nodes=size,
        formed_ms=formed_ms,
        bytes_per_s_mean=round(sum(sent) / size / steady_s),
        bytes_per_s_max=round(max(sent) / steady_s),
        messages_per_s_mean=round(sum(messages) / size / steady_s, 1),
        cpu_percent=round(100 * cpu_s / size / steady_s, 3),
        neighbours_max=max(
            len(host.state.table.neighbours) for host in fleet.hosts.values()
        ),
        report_age_p50_ms=_percentile(ages, 50),
        report_age_p99_ms=_percentile(ages, 99),
        crash_p50_ms=_percentile(crashes, 50),
        crash_p99_ms=_percentile(crashes, 99),
        leave_p50_ms=_percentile(leaves, 50),
        leave_p99_ms=_percentile(leaves, 99),
        false_suspicions=false_suspicions,
    )


def _wait_until_formed(fleet: Fleet) -> int:
    began_ms = fleet.now_ms
    expected = len(fleet.hosts) - 1
    while any(
        len(h.state.table.names) < expected for h in fleet.hosts.values()
    ):
        if fleet.now_ms - began_ms > SETTLE_LIMIT_MS:
            raise RuntimeError("the fleet did not form")
        fleet.step()
    return fleet.now_ms - began_ms


def _count_suspicions(fleet: Fleet) -> int:
    return sum(
        1
        for observer in fleet.hosts
        for name in fleet.hosts
        if name != observer and not fleet.is_offered(observer, name)
    )


def _report_ages(fleet: Fleet) -> list[int]:
    """Returns the age of each report in each view, from its version."""
    ages: list[int] = []
    for host in fleet.hosts.values():
        for name, peer in host.state.peers.items():
            newest = fleet.hosts[name].state.own.report.version
            lag = newest - peer.record.report.version
            ages.append(lag * REPORT_INTERVAL_MS)
    return ages


def _delays(fleet: Fleet, names: Sequence[str], *, is_crash: bool) -> list[int]:
    delays: list[int] = []
    for name in names:
        began_ms = fleet.now_ms
        if is_crash:
            fleet.crash(name)
        else:
            fleet.hosts[name].handle(LeaveRequested())
        waiting = {observer for observer in fleet.hosts if observer != name}
        while waiting:
            if fleet.now_ms - began_ms > EVENT_LIMIT_MS:
                raise RuntimeError(f"{name} is still offered by {waiting}")
            fleet.step()
            for observer in list(waiting):
                if not fleet.is_offered(observer, name):
                    waiting.discard(observer)
                    delays.append(fleet.now_ms - began_ms)
    return delays


def _percentile(values: Sequence[int], percent: int) -> int:
    ordered = sorted(values)
    return ordered[min(len(ordered) * percent // 100, len(ordered) - 1)]


def main(arguments: Sequence[str]) -> None:
    """Prints one JSON object a fleet size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    parser.add_argument("--events", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    for size in options.sizes:
        measurement = measure(size, options.events, options.seed)
        print(json.dumps(dataclasses.asdict(measurement)), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
