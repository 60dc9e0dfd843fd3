"""Replays of a fleet whose upstreams end under a part of the prompts."""

from __future__ import annotations

import dataclasses

import pytest

from trefoilpitch.gateway.tests.simulated_fleet import (
    SimulatedFleet,
    SimulatedRequest,
    SimulatedService,
)

_SERVICE = "model"
_CRASHING = "p"
_START_MS = 10_000
_END_MS = 30_000
# Endings that tell the daemons, and requests that may be sent after that.
_DECISIVE_ENDINGS = 5
_LATE_REQUESTS = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Load:
    """What a fleet is exposed to."""

    name: str
    sound_per_s: float = 25.0
    crashing_per_s: float = 3.0
    response_ms: int = 1_200
    # Whether the prompts with the crashing part have a beginning of their own.
    own_beginning: bool = False
    lost_datagrams: float = 0.03
    # When four daemons restart; None if none does.
    restart_ms: int | None = None


def _play(load: _Load, seed: int) -> SimulatedFleet:
    """Plays sound requests, and after a while also crashing ones."""
    service = SimulatedService(upstreams=6, slots=8, restart_ms=(5_000, 6_000))
    fleet = SimulatedFleet(
        {_SERVICE: service}, seed, lost_datagrams=load.lost_datagrams
    )

    def beginning() -> str:
        return f"b{min(int(fleet.rng.paretovariate(1)), 3)}"

    def arrive(*parts: str, culprit: str | None = None) -> None:
        fleet.arrive(
            SimulatedRequest(
                service=_SERVICE,
                traits=fleet.create_traits(*parts),
                max_attempts=3,
                mean_response_ms=load.response_ms,
                responds_early=True,
                culprit=culprit,
            )
        )

    def send_sound() -> None:
        topic = min(int(fleet.rng.paretovariate(0.7)), 60)
        arrive(beginning(), f"t{topic}")

    def send_crashing() -> None:
        first = "own" if load.own_beginning else beginning()
        arrive(first, _CRASHING, culprit=_CRASHING)

    fleet.repeat(0, load.sound_per_s, send_sound)
    fleet.repeat(_START_MS, load.crashing_per_s, send_crashing)
    if load.restart_ms is not None:
        fleet.after(load.restart_ms, lambda: fleet.restart_daemons(4))
    fleet.play(_END_MS)
    return fleet


# With the last three, upstreams ended within 25 ms of each other.
@pytest.mark.parametrize("seed", [0, 111, 112, 115])
@pytest.mark.parametrize(
    "load",
    [
        _Load(name="usual"),
        _Load(name="few sound requests", sound_per_s=4.0),
        _Load(name="many crashing requests", crashing_per_s=10.0),
        _Load(name="rare crashing requests", crashing_per_s=0.5),
        _Load(name="long responses", response_ms=3_000),
        _Load(name="own beginning", own_beginning=True),
        _Load(name="lost datagrams", lost_datagrams=0.3),
        _Load(name="restarted daemons", restart_ms=11_500),
    ],
    ids=lambda load: load.name,
)
def test_crashing_part_is_refused_in_time_and_no_other(
    load: _Load, seed: int
) -> None:
    fleet = _play(load, seed)
    late = fleet.late_sends(_CRASHING, _DECISIVE_ENDINGS)
    assert late <= _LATE_REQUESTS
    assert len(fleet.endings_ms[_CRASHING]) >= 3
    assert fleet.sound > 50
    assert not fleet.refused
