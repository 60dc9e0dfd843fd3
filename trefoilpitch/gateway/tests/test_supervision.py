from __future__ import annotations

import asyncio

import pytest

from trefoilpitch.gateway._supervision import supervise


def test_failed_job_is_restarted_and_finished_job_is_not() -> None:
    starts: list[int] = []

    async def job() -> None:
        starts.append(1)
        if len(starts) < 3:
            raise KeyError("at")

    asyncio.run(supervise("job", job))
    assert len(starts) == 3


def test_cancelled_job_stays_cancelled() -> None:
    async def scenario() -> None:
        task = asyncio.create_task(supervise("job", asyncio.Event().wait))  # type: ignore[arg-type]
        await asyncio.sleep(0)
        task.cancel()
        await task

    with pytest.raises(asyncio.CancelledError):
        asyncio.run(scenario())
