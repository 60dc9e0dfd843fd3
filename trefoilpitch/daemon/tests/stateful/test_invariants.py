from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from trefoilpitch.daemon.tests.stateful.machine import FleetMachine
from trefoilpitch.daemon.tests.stateful.oracle import STATEMENTS

_SETTINGS = settings(
    max_examples=50,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    # A shrunk failure takes minutes; the trace says as much.
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)


def test_every_statement_holds_and_was_exercised() -> None:
    FleetMachine.fired.clear()
    FleetMachine.exercised.clear()
    run_state_machine_as_test(FleetMachine, settings=_SETTINGS)
    for name, times in sorted(FleetMachine.fired.items()):
        print(f"rule {name}: {times}")
    for statement in STATEMENTS:
        print(f"{statement}: judged {FleetMachine.exercised[statement]}")
    idle = [one for one in STATEMENTS if not FleetMachine.exercised[one]]
    assert not idle
