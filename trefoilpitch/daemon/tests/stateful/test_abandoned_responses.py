"""Responses whose callers disconnect: they keep their slot of the engine."""

from collections.abc import Iterator
from unittest import mock

import pytest

from trefoilpitch.daemon.tests.stateful import machine
from trefoilpitch.daemon.tests.stateful.fleet import DOMAINS
from trefoilpitch.daemon.tests.stateful.machine import FleetMachine
from trefoilpitch.daemon.tests.stateful.upstreams import Backend


@pytest.fixture
def fleet_machine() -> Iterator[FleetMachine]:
    with mock.patch.object(machine, "note"):
        one = FleetMachine()
        try:
            one.start()
            yield one
        finally:
            for patch in one.patches:
                patch.stop()


def _ask(fleet_machine: FleetMachine, domain: str) -> None:
    fleet_machine.ask(
        domain=domain,
        caller=("wide", "tag"),
        stream=True,
        session=-1,
        key=False,
    )


def _begin_response(fleet_machine: FleetMachine) -> Backend:
    """Starts a response; returns the cold engine whose only slot it uses."""
    _ask(fleet_machine, "a")
    fleet_machine.read_on(index=0, parts=1)
    backends = fleet_machine.fleet.backends.values()
    (engine,) = [one for one in backends if one.running]
    assert engine.concurrency_limit == 1
    return engine


def _fill_engines(fleet_machine: FleetMachine) -> None:
    for domain in DOMAINS:
        _ask(fleet_machine, domain)
        fleet_machine.wait(300)


def test_abandoned_response_occupies_its_slot_until_it_ends(
    fleet_machine: FleetMachine,
) -> None:
    engine = _begin_response(fleet_machine)
    fleet_machine.leave(index=0)
    (run,) = engine.running
    # The oracle checks the concurrency limit at every start.
    _fill_engines(fleet_machine)
    assert len(engine.running) == 1
    assert run not in engine.running


def test_response_resumed_elsewhere_occupies_its_slot(
    fleet_machine: FleetMachine,
) -> None:
    engine = _begin_response(fleet_machine)
    (run,) = engine.running
    fleet_machine.resume_elsewhere(index=0, domain="b")
    fleet_machine.wait(10_000)
    fleet_machine.wait(10_000)
    _fill_engines(fleet_machine)
    assert engine.running == [run]


def test_response_resumed_after_a_crash_is_one_run(
    fleet_machine: FleetMachine,
) -> None:
    engine = _begin_response(fleet_machine)
    (run,) = engine.running
    fleet_machine.crash_and_replace("a")
    fleet_machine.resume_elsewhere(index=0, domain="b")
    assert engine.running == [run]
    fleet_machine.read_on(index=0, parts=4)
    assert not engine.running


def test_refusal_by_an_unready_node_claims_no_outcome(
    fleet_machine: FleetMachine,
) -> None:
    _begin_response(fleet_machine)
    fleet_machine.fleet.nodes["entry-b"].crash()
    fleet_machine.fleet.replace("b")
    # The oracle checks the outcome of the refusal.
    fleet_machine.resume_elsewhere(index=0, domain="b")
    assert not fleet_machine.streams
