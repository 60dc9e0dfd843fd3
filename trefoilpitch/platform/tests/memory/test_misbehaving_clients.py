"""Clients that misbehave: the process lives, within its memory, and serves.

Each test starts a daemon of its own with the limits in `daemon.py`, and a crowd
that would need a multiple of them. The bound of the resident memory is
`memory-mb` of the daemon's settings, as the platform kills a process above it;
the bound of the descriptors is `max-fds`.

These tests judge the memory of a process, and run alone: `tools/run_tests.py`
starts them after all others.
"""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from trefoilpitch.platform.tests.memory import crowd
from trefoilpitch.platform.tests.memory.daemon import running_daemon

_SCENARIO_TIMEOUT_S = 90
# Where a crowd connects, and the target of its requests.
_PLACES = {
    "route": ("callers", "/plain/x"),
    "no-route": ("callers", "/nowhere/x"),
    "readiness": ("readiness", "/trefoilpitch/readiness"),
    "directory": ("directory", "/trefoilpitch/resolve"),
    "peers": ("peers", "/v1/items?after=0.0"),
}
# Clients of each behaviour. Those that hold bodies would hold 128 MB, those
# that hold heads 0.4 MB each, those that pipeline 0.3 MB each; the others open
# 400 connections where the process may have 256 descriptors.
_HOLDING_BODIES = 32
_HOLDING_HEADS = 200
_PIPELINING = 200
_CONNECTED = 400


def _play(
    folder: pathlib.Path, place: str, count: int, behaviour: crowd.Behaviour
) -> None:
    async def scenario() -> None:
        async with (
            asyncio.timeout(_SCENARIO_TIMEOUT_S),
            running_daemon(folder) as daemon,
        ):
            port, target = _PLACES[place]
            address = daemon.address(port)
            async with crowd.Crowd(address, target) as clients:
                await clients.send(count, behaviour)
                daemon.assert_within_bounds()
                # Their connections are still open.
                await daemon.assert_serves()
            daemon.assert_within_bounds()

    asyncio.run(scenario())


@pytest.mark.parametrize("place", _PLACES)
@pytest.mark.parametrize(
    "behaviour",
    [
        crowd.body_in_one_piece,
        crowd.body_in_small_pieces,
        crowd.body_in_chunks,
    ],
)
def test_bodies_that_stop_before_their_end(
    tmp_path: pathlib.Path, place: str, behaviour: crowd.Behaviour
) -> None:
    _play(tmp_path, place, _HOLDING_BODIES, behaviour)


@pytest.mark.parametrize("place", ["route", "no-route", "readiness"])
@pytest.mark.parametrize(
    "behaviour",
    [crowd.declared_body_over_limit, crowd.chunked_body_over_limit],
)
def test_bodies_far_over_the_limit(
    tmp_path: pathlib.Path, place: str, behaviour: crowd.Behaviour
) -> None:
    _play(tmp_path, place, _HOLDING_BODIES, behaviour)


@pytest.mark.parametrize("place", _PLACES)
def test_heads_of_many_short_fields(tmp_path: pathlib.Path, place: str) -> None:
    _play(tmp_path, place, _HOLDING_HEADS, crowd.many_short_fields)


@pytest.mark.parametrize("place", ["route", "no-route", "readiness"])
def test_pipelined_heads_of_many_short_fields(
    tmp_path: pathlib.Path, place: str
) -> None:
    _play(tmp_path, place, _HOLDING_HEADS, crowd.many_short_fields_pipelined)


@pytest.mark.parametrize("place", ["route", "no-route", "readiness"])
def test_bodies_of_many_tiny_chunks(tmp_path: pathlib.Path, place: str) -> None:
    _play(tmp_path, place, _HOLDING_BODIES, crowd.many_tiny_chunks)


@pytest.mark.parametrize("place", _PLACES)
def test_pipelined_requests_whose_responses_are_not_read(
    tmp_path: pathlib.Path, place: str
) -> None:
    _play(tmp_path, place, _PIPELINING, crowd.pipelined_without_reading)


@pytest.mark.parametrize(
    "behaviour",
    [crowd.large_response_unread, crowd.large_response_read_slowly],
)
def test_large_responses_that_are_not_read(
    tmp_path: pathlib.Path, behaviour: crowd.Behaviour
) -> None:
    _play(tmp_path, "route", _HOLDING_BODIES, behaviour)


@pytest.mark.parametrize("place", ["route", "readiness"])
@pytest.mark.parametrize(
    "behaviour",
    [crowd.silence, crowd.half_a_head, crowd.slow_head, crowd.slow_body],
)
def test_crowds_that_send_slowly(
    tmp_path: pathlib.Path, place: str, behaviour: crowd.Behaviour
) -> None:
    _play(tmp_path, place, _CONNECTED, behaviour)
