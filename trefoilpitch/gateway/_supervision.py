"""Keeps a daemon's tasks running through errors that nobody foresaw."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from trefoilpitch.gateway._log import log_failure

# Pause before a task that failed runs again: short against the time in which
# changes have to be in force, long against a loop of failures.
_RESTART_MS = 500
_MS_PER_S = 1_000


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
            log_failure(
                "task_failed",
                error,
                task=name,
            )
            await asyncio.sleep(_RESTART_MS / _MS_PER_S)
        else:
            return
