"""Measures a cold start on the in-memory transport.

Some daemons with a constant demand send work to one engine that has just
started. Measured with the protocol's own default settings: the time until the
first work is admitted after all daemons started, from an engine's restart until
it is warm, and the gap that a crash of the gatekeeper leaves; the messages that
a piece of work costs; and how much of the engine's bound is used meanwhile.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import sys
from collections.abc import Callable, Sequence

from tools.coldstart_bench import Bench

LIMIT_MS = 120_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Measurement:
    """The figures of one run."""

    # Daemons that send work, and how long a piece of work runs.
    nodes: int
    work_ms: int
    # From the start of all daemons until the first work is admitted.
    first_work_ms: int
    # From the end of a restart until every daemon holds the engine for warm.
    warm_ms: int
    # Pieces of work in that time, and messages sent for each of them.
    work_in_ramp: int
    messages_per_work: float
    # Share of the bound in use over that time.
    bound_used: float
    # Most work above the bound at any time; never above 0.
    overload: int
    # Longest time without new work after the gatekeeper announced its end.
    leave_gap_ms: int
    # The same after a crash of the gatekeeper.
    crash_gap_ms: int


def measure(size: int, work_ms: int) -> Measurement:
    """Measures one combination of fleet size and length of work."""
    bench = Bench(size, work_ms)
    first_work_ms = _run_until(bench, lambda: bench.started > 0)
    _run_until(bench, bench.is_warm_everywhere)
    bench.restart_engine()
    messages, started = bench.messages, bench.started
    bench.bound_ms = bench.used_ms = 0
    _run_until(bench, lambda: bench.now_ms >= bench.up_ms)
    warm_ms = _run_until(bench, bench.is_warm_everywhere)
    work = bench.started - started
    messages_per_work = (bench.messages - messages) / work
    bound_used = bench.used_ms / bench.bound_ms
    _restart_and_begin_ramp(bench)
    bench.leave_gatekeeper()
    leave_gap_ms = _longest_gap(bench, 5_000)
    _restart_and_begin_ramp(bench)
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
    began_ms = bench.now_ms
    while not condition():
        if bench.now_ms - began_ms > LIMIT_MS:
            raise RuntimeError("the cold start made no progress")
        bench.step()
    return bench.now_ms - began_ms


def _restart_and_begin_ramp(bench: Bench) -> None:
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
    """Prints one JSON object a combination."""
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
