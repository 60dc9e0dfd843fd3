"""Replays of load on upstreams that fall over when they reject too much.

Before the limit on rejections, each of these loads ended most upstreams again
and again, except the calm one.
"""

from __future__ import annotations

import dataclasses

import pytest

from trefoilpitch.gateway.tests.brittle_fleet import BrittleFleet, BrittleLoad

# Requests served may be fewer than by upstreams that never fall, by this part.
_LOSS = 0.05

_PLAIN = BrittleLoad(
    name="burst",
    daemons=9,
    upstreams=3,
    slots=6,
    queue=12,
    short_queue=1,
    limit=5,
)
_ENGINES = BrittleLoad(
    name="burst-on-engines",
    daemons=9,
    upstreams=6,
    slots=32,
    queue=32,
    short_queue=2,
    limit=8,
    mean_ms=800.0,
)
_LARGE = dataclasses.replace(_PLAIN, burst_ms=(4_000, 6_000), end_ms=7_000)
_LOADS = [
    _PLAIN,
    dataclasses.replace(
        _PLAIN, name="short-requests", short_queue=0, limit=2, mean_ms=100.0
    ),
    _ENGINES,
    dataclasses.replace(_ENGINES, name="hot-prefix", hot=0.5, burst=1.0),
    dataclasses.replace(_ENGINES, name="half-brittle", brittle_share=0.5),
    dataclasses.replace(_ENGINES, name="few-daemons-busy", busy_daemons=0.25),
    dataclasses.replace(_ENGINES, name="scarce-memory", memory=0.5),
    dataclasses.replace(_ENGINES, name="calm", burst=0.6),
    dataclasses.replace(_LARGE, name="79-daemons", daemons=79, upstreams=20),
    dataclasses.replace(_LARGE, name="195-daemons", daemons=195, upstreams=30),
]


def _name(load: BrittleLoad) -> str:
    return load.name


def _play(load: BrittleLoad, *, falls: bool = True) -> BrittleFleet:
    fleet = BrittleFleet(load, 1, falls=falls)
    fleet.play()
    return fleet


@pytest.mark.parametrize("load", _LOADS, ids=_name)
def test_few_brittle_upstreams_fall(load: BrittleLoad) -> None:
    assert len(_play(load).fallen_ms) <= load.permitted_falls


@pytest.mark.parametrize("load", _LOADS, ids=_name)
def test_brittle_upstreams_serve_like_those_that_never_fall(
    load: BrittleLoad,
) -> None:
    fleet = _play(load)
    sound = _play(load, falls=False)
    served = fleet.served / fleet.arrived
    assert served >= sound.served / sound.arrived - _LOSS
