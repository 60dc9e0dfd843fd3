"""Plays seeds of the soak: ``python -m tools.soak --seeds=1,2,3``."""

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
    "seeds", [], "Seeds to play; without any, fresh ones are drawn."
)
_COUNT = flags.DEFINE_integer("count", 3, "Fresh seeds to draw.", 1)
_SECONDS = flags.DEFINE_integer("seconds", 36, "Length of a run.", 19)
_DAEMONS = flags.DEFINE_integer("daemons", 4, "Daemons.", 1, 300)
_WORKERS = flags.DEFINE_integer("workers", 3, "Workers of each service.", 1)
_CALLERS = flags.DEFINE_integer("callers", 16, "Callers at a time.", 1)
_TIMED = flags.DEFINE_bool(
    "timed", True, "Also judge promises with a time bound."
)


def main(arguments: Sequence[str]) -> int:
    """Plays the seeds; the status is 1 if a promise was broken."""
    del arguments
    # So that the processes of a soak that is ended from outside end with it.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(number))
    first = int(time.time())
    seeds = [int(seed) for seed in _SEEDS.value] or [
        first + number for number in range(_COUNT.value)
    ]
    broken: list[int] = []
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
        report = asyncio.run(run_once(settings, folder, _say))
        _say(
            f"seed {seed}: {len(report.violations)} broken;"
            f" steps {report.steps}; requests {report.outcomes};"
            f" {report.runs} runs; {report.memory_mb:.0f} MB; logs in {folder}"
        )
        for violation in report.violations:
            _say(f"  {violation}")
        if report.violations:
            broken.append(seed)
    _say(f"{len(seeds)} seeds, broken: {broken or 'none'}")
    return int(bool(broken))


def _say(line: str) -> None:
    print(line, file=sys.stdout, flush=True)


if __name__ == "__main__":
    app.run(main)
