"""Keeps a daemon's tasks running through errors that nobody foresaw."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from trefoilpitch.gateway._log import log_event

# Pause before a task that failed runs again: short against the time in which
# changes have to be in force, long against a loop of failures.
_RESTART_MS = 500
_MS_PER_S = 1_000
# Frames of a stack trace that fit a log line.
_TRACE_FRAMES = 6


async def supervise(name: str, job: Callable[[], Awaitable[None]]) -> None:
    """Runs a job until it ends, and again after an unexpected error.

    Args:
        name: Names the job in the log.
        job: Starts it; called anew for each run.
    """
    while True:
        try:
            await job()
        except Exception as error:
            log_event(
                "task_failed",
                task=name,
                error=type(error).__name__,
                trace=traceback.format_exc(limit=-_TRACE_FRAMES),
            )
            await asyncio.sleep(_RESTART_MS / _MS_PER_S)
        else:
            return
