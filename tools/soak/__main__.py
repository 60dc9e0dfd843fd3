"""Runs the soak test: ``python -m tools.soak --seeds=1,2,3``."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import tempfile
import time
from collections.abc import Sequence

from absl import app, flags

from tools.soak._run import Settings, run_once

_SEEDS = flags.DEFINE_list(
    "seeds", [], "Seeds to run; if empty, new ones are derived from the clock."
)
_COUNT = flags.DEFINE_integer("count", 3, "New seeds to run.", 1)
_SECONDS = flags.DEFINE_integer("seconds", 36, "Duration of a run.", 19)
_DAEMONS = flags.DEFINE_integer("daemons", 4, "Daemons.", 1, 300)
_WORKERS = flags.DEFINE_integer("workers", 3, "Workers of each service.", 1)
_CALLERS = flags.DEFINE_integer("callers", 16, "Concurrent callers.", 1)
_TIMED = flags.DEFINE_bool(
    "timed", True, "Also check guarantees that have a time bound."
)


def main(arguments: Sequence[str]) -> int:
    """Runs the seeds; the exit status is 1 if a guarantee was violated."""
    del arguments
    # Exits through the context managers on SIGTERM, so that the processes that
    # the soak has started end with it.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(number))
    first = int(time.time())
    seeds = [int(seed) for seed in _SEEDS.value] or [
        first + number for number in range(_COUNT.value)
    ]
    failed_seeds: list[int] = []
    for seed in seeds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        settings = Settings(
            seed=seed,
            duration_ms=_SECONDS.value * 1_000,
            daemons=_DAEMONS.value,
            workers=_WORKERS.value,
            callers=_CALLERS.value,
            timed=_TIMED.value,
        )
        report = asyncio.run(run_once(settings, folder, _print_line))
        _print_line(
            f"seed {seed}: {len(report.violations)} violations;"
            f" steps {report.steps}; requests {report.outcomes};"
            f" {report.runs} runs; {report.memory_mb:.0f} MB; logs in {folder}"
        )
        for violation in report.violations:
            _print_line(f"  {violation}")
        if report.violations:
            failed_seeds.append(seed)
    _print_line(f"{len(seeds)} seeds, failed: {failed_seeds or 'none'}")
    return int(bool(failed_seeds))


def _print_line(line: str) -> None:
    print(line, file=sys.stdout, flush=True)


if __name__ == "__main__":
    app.run(main)
