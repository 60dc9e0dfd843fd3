"""Measures the membership protocol on the in-memory transport.

For each fleet size, this measures the bytes and messages that one daemon sends
per second, the processor time of its protocol, and the time until every other
view reflects a crash or an announced shutdown.
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
TICK_INTERVAL_MS = 200
REPORT_INTERVAL_MS = 2_000
DOMAINS = 9
STEADY_MS = 20_000
FORMATION_TIMEOUT_MS = 60_000
EVENT_TIMEOUT_MS = 30_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Measurement:
    """The figures of one fleet size."""

    # Number of daemons, and the time from their start until every view is
    # complete.
    nodes: int
    formed_ms: int
    # Rates sent by one daemon in a steady state: mean over the daemons, and
    # that of the busiest.
    bytes_per_s_mean: int
    bytes_per_s_max: int
    messages_per_s_mean: float
    # Processor time of one daemon's protocol, including encoding and
    # authentication of messages, in percent of a core.
    cpu_percent: float
    # Largest number of neighbours of a daemon.
    neighbours_max: int
    # Age of the reports in all views.
    report_age_p50_ms: int
    report_age_p99_ms: int
    # From a crash, or the announcement of a shutdown, until another view no
    # longer shows the member as alive.
    crash_p50_ms: int
    crash_p99_ms: int
    leave_p50_ms: int
    leave_p99_ms: int
    # Live members not shown as alive, summed over all views, at the end of the
    # steady phase.
    false_suspicions: int


class Fleet:
    """Simulated daemons on one manual clock.

    Args:
        size: Number of daemons.
        seed: Seed of the network and of the daemons' tick offsets and reports.
    """

    def __init__(self, size: int, seed: int) -> None:
        self._rng = random.Random(seed)
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
        """Advances the simulation by one time step."""
        self._clock.advance(STEP_MS)
        self._network.deliver_due()
        for name, host in self.hosts.items():
            if self.now_ms >= self._next_tick_ms[name]:
                self._next_tick_ms[name] += TICK_INTERVAL_MS
                if (
                    self._next_tick_ms[name] % REPORT_INTERVAL_MS
                    < TICK_INTERVAL_MS
                ):
                    share = self._rng.random()
                    report = Report(in_flight_share=share)
                    host.handle(ReportChanged(report))
                host.handle(Tick())

    def run(self, for_ms: int) -> None:
        """Advances the simulation by a time."""
        for _ in range(for_ms // STEP_MS):
            self.step()

    def crash(self, name: str) -> None:
        """Removes a daemon without announcement."""
        self.transports.pop(name).close()
        del self.hosts[name]

    def is_seen_alive(self, observer: str, name: str) -> bool:
        """Whether an observer's view shows a member as alive."""
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
        self._next_tick_ms[name] = self.now_ms + self._rng.randrange(
            TICK_INTERVAL_MS
        )

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
        size: Number of daemons.
        events: Number of crashes, and of announced shutdowns.
        seed: Seed of the simulation.
    """
    fleet = Fleet(size, seed)
    formed_ms = _wait_until_formed(fleet)
    fleet.run(10_000)
    before = [t.counters() for t in fleet.transports.values()]
    started_s = time.process_time()
    fleet.run(STEADY_MS)
    cpu_s = time.process_time() - started_s
    after = [t.counters() for t in fleet.transports.values()]
    pairs = list(zip(before, after, strict=True))
    sent = [b.bytes_sent - a.bytes_sent for a, b in pairs]
    messages = [b.messages_sent - a.messages_sent for a, b in pairs]
    steady_s = STEADY_MS / 1_000
    ages = _report_ages(fleet)
    false_suspicions = _count_suspicions(fleet)
    names = list(fleet.hosts)
    crashes = _detection_delays(fleet, names[:events], is_crash=True)
    leaves = _detection_delays(
        fleet, names[events : 2 * events], is_crash=False
    )
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
    started_ms = fleet.now_ms
    expected = len(fleet.hosts) - 1
    while any(
        len(h.state.table.names) < expected for h in fleet.hosts.values()
    ):
        if fleet.now_ms - started_ms > FORMATION_TIMEOUT_MS:
            raise RuntimeError(
                f"views were not complete after {FORMATION_TIMEOUT_MS} ms"
            )
        fleet.step()
    return fleet.now_ms - started_ms


def _count_suspicions(fleet: Fleet) -> int:
    return sum(
        1
        for observer in fleet.hosts
        for name in fleet.hosts
        if name != observer and not fleet.is_seen_alive(observer, name)
    )


def _report_ages(fleet: Fleet) -> list[int]:
    """Returns the age of each report in each view, derived from its version."""
    ages: list[int] = []
    for host in fleet.hosts.values():
        for name, peer in host.state.peers.items():
            newest = fleet.hosts[name].state.own.report.version
            lag = newest - peer.record.report.version
            ages.append(lag * REPORT_INTERVAL_MS)
    return ages


def _detection_delays(
    fleet: Fleet, names: Sequence[str], *, is_crash: bool
) -> list[int]:
    delays: list[int] = []
    for name in names:
        started_ms = fleet.now_ms
        if is_crash:
            fleet.crash(name)
        else:
            fleet.hosts[name].handle(LeaveRequested())
        pending = {observer for observer in fleet.hosts if observer != name}
        while pending:
            if fleet.now_ms - started_ms > EVENT_TIMEOUT_MS:
                raise RuntimeError(
                    f"{name} is still alive in the views of {pending}"
                )
            fleet.step()
            for observer in list(pending):
                if not fleet.is_seen_alive(observer, name):
                    pending.discard(observer)
                    delays.append(fleet.now_ms - started_ms)
    return delays


def _percentile(values: Sequence[int], percent: int) -> int:
    ordered = sorted(values)
    return ordered[min(len(ordered) * percent // 100, len(ordered) - 1)]


def main(arguments: Sequence[str]) -> None:
    """Prints one JSON object for each fleet size."""
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
