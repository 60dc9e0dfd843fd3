"""Runs all measurements one after another, each with a time limit.

Usage: ``python -m tools.measure``

If a measurement fails or times out, the others still run and the exit status
is 1.
"""

from __future__ import annotations

import signal
import subprocess
import sys
import time

from tools.processes import ROOT

_TIMEOUTS_S = {
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


def _run(module: str, timeout_s: int) -> str:
    """Runs one measurement and returns its outcome as text."""
    print(f"\n== {module}", flush=True)
    command = [sys.executable, "-m", module]
    with subprocess.Popen(command, cwd=ROOT) as process:
        try:
            status = process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            # SIGINT lets the measurement stop the processes that it started.
            process.send_signal(signal.SIGINT)
            return f"timed out after {timeout_s} s"
    return "done" if status == 0 else f"exit {status}"


def main() -> int:
    """Runs all measurements and returns the exit status."""
    outcomes: dict[str, str] = {}
    for module, timeout_s in _TIMEOUTS_S.items():
        started_s = time.monotonic()
        outcome = _run(module, timeout_s)
        elapsed_s = time.monotonic() - started_s
        outcomes[module] = outcome
        print(f"== {module}: {outcome} ({elapsed_s:.0f} s)", flush=True)
    return int(any(outcome != "done" for outcome in outcomes.values()))


if __name__ == "__main__":
    sys.exit(main())
