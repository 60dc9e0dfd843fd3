"""The record of a run, and its verdict."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Lines of what was sent, answered and run, with the time of each.

    Args:
        path: The file to write.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", buffering=1)
        self._start_s = time.monotonic()

    def line(self, text: str) -> None:
        """Writes a line."""
        elapsed_s = time.monotonic() - self._start_s
        self._file.write(f"{elapsed_s:8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Writes a line and prints it."""
        self.line(text)
        print(text, flush=True)


class CannotRunError(Exception):
    """The case could not be set up."""


# Plays a case in a temporary folder; returns whether the rule held.
Play = Callable[[Record, pathlib.Path, bool], Awaitable[bool]]


def main(case: str, play: Play) -> None:
    """Runs a case and exits with its verdict.

    Args:
        case: Path of the case's program; the record is written beside it.
        play: Plays it.
    """
    record = Record(pathlib.Path(case).with_name("record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"with the disruption: {trouble}")

    async def run() -> bool:
        with tempfile.TemporaryDirectory() as folder:
            held = await play(record, pathlib.Path(folder), trouble)
            # Lets closed connections end before the event loop does.
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)
            await asyncio.sleep(0.1)
            return held

    # A run that takes too long still ends the processes that it started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        held = asyncio.run(run())
    except (CannotRunError, OSError, KeyboardInterrupt) as error:
        record.say(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    record.say("the rule held" if held else "the rule is broken")
    sys.exit(HELD if held else BROKEN)
