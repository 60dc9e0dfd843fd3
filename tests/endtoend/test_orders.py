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
    """Its engines share a failure domain and lack the new version."""

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
                one["lease"] == _LEASE and one["is_holder"]
                for one in self.dump(letter)["orders"]
            )
        ]

    def wait_for_holder(self) -> str:
        (holder,) = wait_until(self.holders, "a daemon that gives orders")
        return str(holder)

    def ready(self) -> list[str]:
        """Returns the engines that have the new version."""
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
def _callers(fleet: Fleet, letters: list[str]) -> Iterator[list[int]]:
    """Begins sessions all the time; yields the statuses as they come."""
    statuses: list[int] = []
    is_over = threading.Event()

    def ask(letter: str) -> None:
        while not is_over.is_set():
            statuses.append(fleet.chat(letter, f"tape {letter}").status)

    threads = [threading.Thread(target=ask, args=(one,)) for one in letters]
    for thread in threads:
        thread.start()
    try:
        yield statuses
    finally:
        is_over.set()
        for thread in threads:
            thread.join()


def test_another_daemon_finishes_what_a_killed_one_began(
    rollout_fleet: _RolloutFleet,
) -> None:
    fleet = rollout_fleet
    first = fleet.wait_for_holder()
    for letter in DOMAINS:
        assert "orders" not in fleet.engine_counts(letter)["counts"]
    others = [letter for letter in DOMAINS if letter != first]
    with _callers(fleet, others) as statuses:
        started = fleet.change(others[0], kind="rollout-start", version=_NEW)
        assert started.status == 200, started.body
        wait_until(fleet.ready, "an engine with the new version")
        fleet.processes.kill(f"entry-{first}")
        assert len(fleet.ready()) < len(DOMAINS), "nothing is left to load"
        wait_until(
            lambda: len(fleet.ready()) == len(DOMAINS),
            "engines with the new version",
            60.0,
        )
        assert fleet.wait_for_holder() in others
        wait_until(
            lambda: fleet.chat(others[0]).headers["Model-Version"] == _NEW,
            "an answer by the new version",
        )
    assert set(statuses) == {200}
    for letter in DOMAINS:
        counts = fleet.engine_counts(letter)["counts"]
        assert counts["loads"] == 1
        assert counts["orders"] == 1
        for harm in ("unloads", "falls", "refused_version_not_loaded"):
            assert harm not in counts


def test_daemon_that_is_told_to_end_hands_its_lease_on(
    rollout_fleet: _RolloutFleet,
) -> None:
    fleet = rollout_fleet
    fleet.repair()
    first = fleet.wait_for_holder()
    # A request without an end in sight keeps it alive meanwhile.
    fleet.set_engines(token_ms=20_000)
    with Stream(fleet.caller(first), "tape 3") as stream:
        stream.read_parts(1)
        fleet.processes.signal(f"entry-{first}")
        wait_until(
            lambda: fleet.holders() not in ([], [first]), "another holder"
        )
        assert fleet.processes.is_running(f"entry-{first}")
        assert not stream.is_whole
        fleet.processes.signal(f"entry-{first}")
        fleet.processes.wait(f"entry-{first}")
    for letter in DOMAINS:
        counts = fleet.engine_counts(letter)["counts"]
        assert counts["orders"] == 1
