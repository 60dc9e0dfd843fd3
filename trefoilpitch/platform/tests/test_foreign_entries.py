"""Entries of other writers among those of the upstreams."""

from __future__ import annotations

import json
from typing import Any

import pytest

from trefoilpitch.platform.tests.harness import run, running_fleet, wait_until
from trefoilpitch.standins import PlatformWorkerStandIn

_ENTRY: dict[str, Any] = PlatformWorkerStandIn("odd").entry("plain-service")


def _entry(**fields: Any) -> bytes:
    return json.dumps({**_ENTRY, "address": "127.0.0.1:9", **fields}).encode()


_ENTRIES = {
    "nested": b'{"address":' * 20_000,
    "nested-in-unknown-field": _entry()[:-1]
    + b',"x":'
    + b"[" * 100_000
    + b"]" * 100_000
    + b"}",
    "port-too-large": _entry(address="127.0.0.1:70000"),
    "port-of-many-digits": _entry(address="127.0.0.1:" + "9" * 30),
    "port-negative": _entry(address="127.0.0.1:-1"),
    "port-zero": _entry(address="127.0.0.1:0"),
    "port-not-ascii": _entry(address="127.0.0.1:\uff19"),
    "host-empty": _entry(address=":80"),
    "host-name": _entry(address="worker.example:80"),
    "host-with-zero-byte": _entry(address="a\0b:80"),
    "host-not-unicode": _entry(address="a\ud800:80"),
    "slots-too-large": _entry(slots=10**400),
    "slots-of-many-digits": _entry().replace(
        b'"slots": 8', b'"slots": ' + b"9" * 5_000
    ),
    "slots-none": _entry(slots=0),
    "slots-negative": _entry(slots=-(2**63)),
    "cold-not-finite": _entry(**{"cold-left-ms": float("inf")}),
    "start-too-large": _entry(born=10**30),
    "start-negative": _entry(born=-(2**80)),
    "not-json": b"\xff\xfe",
    "empty": b"",
}


@pytest.mark.parametrize("value", _ENTRIES.values(), ids=_ENTRIES.keys())
def test_odd_entry_of_another_writer_names_no_upstream(value: bytes) -> None:
    """The daemon follows the list, and requests go to the others."""

    async def scenario() -> None:
        async with running_fleet(plain=1) as fleet:
            fleet.store.put_bytes("servers/odd", value)
            await fleet.add_worker("plain-1", "plain-service")
            upstreams = fleet.daemon.view.upstreams
            await wait_until(lambda: "plain-1" in upstreams)
            for number in range(8):
                head, _ = await fleet.send_request(
                    "/plain/x", request_id=f"id-{number}"
                )
                assert head.status == 200
            assert upstreams.keys() == {"plain-0", "plain-1"}

    run(scenario)


@pytest.mark.parametrize("milliseconds", [1e308, 10**30, 2**64])
def test_entry_is_cold_for_an_hour_at_most(milliseconds: float) -> None:
    async def scenario() -> None:
        async with running_fleet(plain=1) as fleet:
            worker = fleet.workers["plain-0"]
            entry = worker.entry("plain-service", seq=2)
            entry["cold-left-ms"] = milliseconds
            fleet.store.put_bytes("servers/plain-0", json.dumps(entry).encode())
            upstreams = fleet.daemon.view.upstreams
            await wait_until(
                lambda: upstreams["plain-0"].entry.cold_left_ms > 0
            )
            assert upstreams["plain-0"].entry.cold_left_ms <= 3_600_000

    run(scenario)
