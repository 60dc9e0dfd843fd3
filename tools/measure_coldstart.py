"""Measures a cold start on the in-memory transport.

Several daemons with a constant demand send work to one engine that has just
started. With the protocol's default settings, this measures the time from the
start of all daemons until the first work is admitted, the time from an
engine's restart until it is warm, the gap in admissions after the gatekeeper
leaves or crashes, the number of messages for each piece of work, and the
utilization of the engine's limit during the ramp.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import sys
from collections.abc import Callable, Sequence

from tools.coldstart_bench import Bench

TIMEOUT_MS = 120_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Measurement:
    """The figures of one run."""

    # Number of daemons that send work, and run time of a piece of work.
    nodes: int
    work_ms: int
    # From the start of all daemons until the first work is admitted.
    first_work_ms: int
    # From the end of a restart until the engine is warm for every daemon.
    warm_ms: int
    # Pieces of work started after the restart, and messages sent for each.
    work_in_ramp: int
    messages_per_work: float
    # Mean utilization of the ramp limit in that time, from 0 to 1.
    bound_used: float
    # Largest excess of running work over the ramp limit; must not exceed 0.
    overload: int
    # Longest time without newly started work after the gatekeeper announced
    # that it leaves.
    leave_gap_ms: int
    # The same after a crash of the gatekeeper.
    crash_gap_ms: int


def measure(size: int, work_ms: int) -> Measurement:
    """Measures one combination of fleet size and run time of work."""
    bench = Bench(size, work_ms)
    first_work_ms = _run_until(bench, lambda: bench.started > 0)
    _run_until(bench, bench.is_warm_everywhere)
    bench.restart_engine()
    messages, started = bench.messages, bench.started
    bench.limit_total = bench.used_total = 0
    _run_until(bench, lambda: bench.now_ms >= bench.engine_up_ms)
    warm_ms = _run_until(bench, bench.is_warm_everywhere)
    work = bench.started - started
    messages_per_work = (bench.messages - messages) / work
    bound_used = bench.used_total / bench.limit_total
    _restart_and_start_ramp(bench)
    bench.announce_gatekeeper_leave()
    leave_gap_ms = _longest_gap(bench, 5_000)
    _restart_and_start_ramp(bench)
    bench.crash_gatekeeper()
    return Measurement(
        nodes=size,
        work_ms=work_ms,
        first_work_ms=first_work_ms,
        warm_ms=warm_ms,
        work_in_ramp=work,
        messages_per_work=round(messages_per_work, 2),
        bound_used=round(bound_used, 2),
        overload=bench.overload,
        leave_gap_ms=leave_gap_ms,
        crash_gap_ms=_longest_gap(bench, 20_000),
    )


def _run_until(bench: Bench, condition: Callable[[], bool]) -> int:
    started_ms = bench.now_ms
    while not condition():
        if bench.now_ms - started_ms > TIMEOUT_MS:
            raise RuntimeError(
                f"the cold start did not progress within {TIMEOUT_MS} ms"
            )
        bench.step()
    return bench.now_ms - started_ms


def _restart_and_start_ramp(bench: Bench) -> None:
    bench.restart_engine()
    _run_until(bench, lambda: bench.successes >= 2)


def _longest_gap(bench: Bench, for_ms: int) -> int:
    longest_ms = 0
    end_ms = bench.now_ms + for_ms
    last_ms, started = bench.now_ms, bench.started
    while bench.now_ms < end_ms:
        bench.step()
        if bench.started > started:
            last_ms, started = bench.now_ms, bench.started
        longest_ms = max(longest_ms, bench.now_ms - last_ms)
    return longest_ms


def main(arguments: Sequence[str]) -> None:
    """Prints one JSON object for each combination."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=(3, 9))
    parser.add_argument("--work-ms", type=int, nargs="+", default=(300, 2_000))
    options = parser.parse_args(arguments)
    for size in options.sizes:
        for work_ms in options.work_ms:
            measurement = measure(size, work_ms)
            print(json.dumps(dataclasses.asdict(measurement)), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
