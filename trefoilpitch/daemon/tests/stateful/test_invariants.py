from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from trefoilpitch.daemon.tests.stateful.machine import FleetMachine
from trefoilpitch.daemon.tests.stateful.oracle import STATEMENTS

_SETTINGS = settings(
    max_examples=50,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    # Shrinking a failure takes minutes; the full trace is as informative.
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)


def test_every_statement_holds_and_was_exercised() -> None:
    FleetMachine.rule_counts.clear()
    FleetMachine.exercised.clear()
    run_state_machine_as_test(FleetMachine, settings=_SETTINGS)
    for name, times in sorted(FleetMachine.rule_counts.items()):
        print(f"rule {name}: {times}")
    for statement in STATEMENTS:
        print(f"{statement}: checked {FleetMachine.exercised[statement]}")
    idle = [one for one in STATEMENTS if not FleetMachine.exercised[one]]
    assert not idle
