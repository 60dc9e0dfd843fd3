"""Port ranges of concurrent test runs."""

from __future__ import annotations

import contextlib
import pathlib

from tests.endtoend.conftest import reserve_ports

_RANGES_PER_RUN = 4
_RUNS = 8
_EPHEMERAL_PORTS = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_several_runs_reserve_ranges_at_the_same_time() -> None:
    with contextlib.ExitStack() as stack:
        first_ports = [
            reserve_ports(stack) for _ in range(_RUNS * _RANGES_PER_RUN)
        ]
    assert len(set(first_ports)) == len(first_ports)
    first_ephemeral = int(_EPHEMERAL_PORTS.read_text().split()[0])
    assert max(first_ports) + 100 <= first_ephemeral
