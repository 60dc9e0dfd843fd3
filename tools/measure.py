"""Runs every measurement, one after another, each bounded in time.

Usage: ``python -m tools.measure``

Exits with status 1 if a measurement fails or takes too long; the others run
all the same.
"""

from __future__ import annotations

import signal
import subprocess
import sys
import time

from tools.processes import ROOT

_LIMITS_S = {
    "tools.measure_decisions": 600,
    "tools.measure_configuration": 300,
    "tools.measure_membership": 900,
    "tools.measure_coldstart": 300,
    "tools.measure_ledger": 60,
    "tools.measure_router": 300,
    "tools.measure_prefixes": 200,
    "tools.measure_upstreams": 200,
    "tools.measure_fleet": 600,
    "tools.measure_propagation": 900,
}


def _run(module: str, limit_s: int) -> str:
    """Runs one measurement and returns what became of it."""
    print(f"\n== {module}", flush=True)
    command = [sys.executable, "-m", module]
    with subprocess.Popen(command, cwd=ROOT) as process:
        try:
            status = process.wait(limit_s)
        except subprocess.TimeoutExpired:
            # An interrupt lets the measurement end the processes it started.
            process.send_signal(signal.SIGINT)
            return f"took longer than {limit_s} s"
    return "done" if status == 0 else f"exit {status}"


def main() -> int:
    """Runs all and returns the exit status."""
    outcomes: dict[str, str] = {}
    for module, limit_s in _LIMITS_S.items():
        began_s = time.monotonic()
        outcome = _run(module, limit_s)
        elapsed_s = time.monotonic() - began_s
        outcomes[module] = outcome
        print(f"== {module}: {outcome} ({elapsed_s:.0f} s)", flush=True)
    return int(any(outcome != "done" for outcome in outcomes.values()))


if __name__ == "__main__":
    sys.exit(main())
