"""Restarts a daemon's background tasks after unexpected errors."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from trefoilpitch.gateway._log import log_failure

# Delay before a failed task restarts: short compared to the time within which
# changes must take effect, long enough to avoid a busy loop of failures.
_RESTART_MS = 500
_MS_PER_S = 1_000


async def supervise(name: str, job: Callable[[], Awaitable[None]]) -> None:
    """Runs a job until it returns; restarts it after an unexpected error.

    Args:
        name: Name of the job for the log.
        job: Called for each run.
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
