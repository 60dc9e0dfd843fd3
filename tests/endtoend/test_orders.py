from __future__ import annotations

import contextlib
import re
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from tests.endtoend.conftest import reserve_ports
from tests.endtoend.fleet import DOMAINS, Fleet
from tests.endtoend.streams import Stream
from tools.processes import Processes, wait_until

_NEW = "large@2"
_LEASE = "leases/orders/domain-a/0"
_ENGINE_DOMAIN = re.compile(
    r'(name = "engine-[bc]"\naddress = .*\nfailure_domain = )"domain-[bc]"'
)


class _RolloutFleet(Fleet):
    """A fleet whose engines share a domain and lack the new version."""

    versions = "large@1"

    def bundle(self) -> str:
        text, changes = _ENGINE_DOMAIN.subn(r'\1"domain-a"', super().bundle())
        assert changes == 2
        return text

    def holders(self) -> list[str]:
        return [
            letter
            for letter in DOMAINS
            if self.processes.is_running(f"entry-{letter}")
            and any(
                lease["lease"] == _LEASE and lease["is_holder"]
                for lease in self.dump(letter)["orders"]
            )
        ]

    def wait_for_holder(self) -> str:
        (holder,) = wait_until(self.holders, "acquisition of the orders lease")
        return str(holder)

    def engines_with_new_version(self) -> list[str]:
        """Returns the engines that have loaded the new version."""
        return [
            letter
            for letter in DOMAINS
            if _NEW in self.engine_load(letter)["versions"]
        ]


@pytest.fixture(scope="module")
def rollout_fleet() -> Iterator[_RolloutFleet]:
    with contextlib.ExitStack() as stack, Processes() as processes:
        fleet = _RolloutFleet(processes, reserve_ports(stack))
        fleet.start()
        yield fleet


@contextmanager
def _background_requests(
    fleet: Fleet, letters: list[str]
) -> Iterator[list[int]]:
    """Starts new sessions in a loop; yields the growing list of statuses."""
    statuses: list[int] = []
    is_stopped = threading.Event()

    def send_requests(letter: str) -> None:
        while not is_stopped.is_set():
            statuses.append(fleet.chat(letter, f"tape {letter}").status)

    threads = [
        threading.Thread(target=send_requests, args=(letter,))
        for letter in letters
    ]
    for thread in threads:
        thread.start()
    try:
        yield statuses
    finally:
        is_stopped.set()
        for thread in threads:
            thread.join()


def test_another_daemon_completes_orders_of_killed_holder(
    rollout_fleet: _RolloutFleet,
) -> None:
    fleet = rollout_fleet
    first = fleet.wait_for_holder()
    for letter in DOMAINS:
        assert "orders" not in fleet.engine_counts(letter)["counts"]
    others = [letter for letter in DOMAINS if letter != first]
    with _background_requests(fleet, others) as statuses:
        started = fleet.change(others[0], kind="rollout-start", version=_NEW)
        assert started.status == 200, started.body
        wait_until(
            fleet.engines_with_new_version,
            "load of the new version at an engine",
        )
        fleet.processes.kill(f"entry-{first}")
        assert len(fleet.engines_with_new_version()) < len(DOMAINS), (
            "all engines had the new version before the kill"
        )
        wait_until(
            lambda: len(fleet.engines_with_new_version()) == len(DOMAINS),
            "load of the new version at all engines",
            60.0,
        )
        assert fleet.wait_for_holder() in others
        wait_until(
            lambda: fleet.chat(others[0]).headers["Model-Version"] == _NEW,
            "a response of the new version",
        )
    assert set(statuses) == {200}
    for letter in DOMAINS:
        counts = fleet.engine_counts(letter)["counts"]
        assert counts["loads"] == 1
        assert counts["orders"] == 1
        for name in ("unloads", "falls", "refused_version_not_loaded"):
            assert name not in counts


def test_terminated_daemon_hands_over_orders_lease(
    rollout_fleet: _RolloutFleet,
) -> None:
    fleet = rollout_fleet
    fleet.reset()
    first = fleet.wait_for_holder()
    # The slow stream keeps the draining daemon alive.
    fleet.set_engines(token_ms=20_000)
    with Stream(fleet.caller_address(first), "tape 3") as stream:
        stream.read_chunks(1)
        fleet.processes.signal(f"entry-{first}")
        wait_until(
            lambda: fleet.holders() not in ([], [first]),
            "hand-over of the orders lease",
        )
        assert fleet.processes.is_running(f"entry-{first}")
        assert not stream.is_complete
        fleet.processes.signal(f"entry-{first}")
        fleet.processes.wait(f"entry-{first}")
    for letter in DOMAINS:
        counts = fleet.engine_counts(letter)["counts"]
        assert counts["orders"] == 1
