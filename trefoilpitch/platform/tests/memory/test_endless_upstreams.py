"""Upstreams that send without end: the process lives, and serves others.

The bounds are those of `test_misbehaving_clients.py`.
"""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from trefoilpitch.platform.tests.endless import (
    ENDLESS_BODIES,
    ENDLESS_HEADS,
    ENDLESS_STREAMS,
    EndlessWorker,
)
from trefoilpitch.platform.tests.harness import stream_routes
from trefoilpitch.platform.tests.memory import crowd
from trefoilpitch.platform.tests.memory.daemon import running_daemon

_SCENARIO_TIMEOUT_S = 90
# Their responses would hold 384 MB if each had the largest permitted body.
_CALLERS = 48
_SLOTS = 1_000
_ROUTES = stream_routes(gap_ms=400)


async def _request(client: crowd.Client) -> None:
    """Sends a request and reads what comes."""
    await client.send(client.head(method="GET"))


_RESPONSES = {
    response.name: response
    for response in (*ENDLESS_HEADS, *ENDLESS_BODIES, *ENDLESS_STREAMS)
}


@pytest.mark.parametrize(
    ("target", "name"),
    [
        ("/plain/x", "header lines"),
        ("/plain/x", "informational responses"),
        ("/plain/x", "no framing"),
        ("/plain/x", "chunks"),
        ("/stream/x", "zero bytes"),
        ("/stream/x", "event"),
    ],
)
def test_endless_responses_do_not_end_the_process(
    tmp_path: pathlib.Path, target: str, name: str
) -> None:
    service = "model-service" if target == "/stream/x" else "plain-service"

    async def scenario() -> None:
        async with (
            asyncio.timeout(_SCENARIO_TIMEOUT_S),
            EndlessWorker("endless", _RESPONSES[name]) as endless,
            running_daemon(tmp_path, routes=_ROUTES) as daemon,
        ):
            entry = {**endless.entry(service), "slots": _SLOTS}
            daemon.store.put("servers/endless", entry)
            await asyncio.sleep(0.5)
            callers = daemon.address("callers")
            async with crowd.Crowd(callers, target) as clients:
                await clients.send(_CALLERS, _request)
                daemon.assert_within_bounds()
                await daemon.assert_serves()
            daemon.assert_within_bounds()
            assert endless.requests

    asyncio.run(scenario())
