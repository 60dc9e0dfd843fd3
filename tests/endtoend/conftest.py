from __future__ import annotations

import itertools
from collections.abc import Iterator

import pytest

from tests.endtoend.fleet import Fleet
from tools.processes import Processes

_FIRST_PORT = 20_000
_PORTS_PER_FLEET = 100
_fleets = itertools.count()


@pytest.fixture(scope="session")
def fleet() -> Iterator[Fleet]:
    """One fleet for all tests that leave it as they found it."""
    with Processes() as processes:
        yield _started(processes)


@pytest.fixture
def own_fleet() -> Iterator[Fleet]:
    """A fleet for one test, which may ruin it."""
    with Processes() as processes:
        yield _started(processes)


def _started(processes: Processes) -> Fleet:
    first_port = _FIRST_PORT + next(_fleets) * _PORTS_PER_FLEET
    fleet = Fleet(processes, first_port)
    fleet.start()
    return fleet
