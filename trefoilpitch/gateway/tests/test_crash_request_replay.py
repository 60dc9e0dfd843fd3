"""Replays of a fleet whose upstreams end under requests that come again."""

from __future__ import annotations

import dataclasses
import functools

import pytest

from trefoilpitch.gateway.tests.simulated_fleet import (
    SimulatedFleet,
    SimulatedRequest,
    SimulatedService,
)

_PLAIN = "plain"
_MODEL = "model"
_CRASHING_PART = "p"
_START_MS = 10_000
_END_MS = 40_000
# Endings that tell the daemons, and requests that may be sent after that.
_DECISIVE_ENDINGS = 3
_DECISIVE_ENDINGS_OF_PART = 5
_LATE_REQUESTS = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Load:
    """What a fleet is exposed to."""

    name: str
    # Number of requests that end upstreams, and how often each comes.
    deadly: int = 1
    deadly_per_s: float = 2.0
    deadly_attempts: int = 2
    sound_per_s: float = 10.0
    # Share of the sound requests that come again like the deadly ones.
    repeated: float = 0.2
    lost_datagrams: float = 0.03
    # When four daemons restart; None if none does.
    restart_ms: int | None = None
    # How often upstreams of another service end for other reasons.
    other_endings_per_s: float = 0.0
    # How often prompts with a crashing part come at another service.
    crashing_part_per_s: float = 0.0


class _Replay:
    def __init__(self, load: _Load, seed: int) -> None:
        self._load = load
        self.fleet = SimulatedFleet(
            {
                _PLAIN: SimulatedService(
                    upstreams=3, slots=6, restart_ms=(3_000, 3_400)
                ),
                _MODEL: SimulatedService(
                    upstreams=6, slots=8, restart_ms=(5_000, 6_000)
                ),
            },
            seed,
            lost_datagrams=load.lost_datagrams,
        )
        self.culprits = [f"deadly {n}" for n in range(load.deadly)]
        self._deadly = [
            self._plain(culprit.encode(), load.deadly_attempts, culprit)
            for culprit in self.culprits
        ]

    def play(self) -> None:
        load = self._load
        fleet = self.fleet
        fleet.repeat(0, load.sound_per_s, self._send_sound)
        for request in self._deadly:
            fleet.repeat(
                _START_MS,
                load.deadly_per_s,
                functools.partial(fleet.arrive, request),
            )
        if load.other_endings_per_s:
            fleet.repeat(
                _START_MS,
                load.other_endings_per_s,
                lambda: fleet.end_upstream(_MODEL),
            )
        if load.other_endings_per_s or load.crashing_part_per_s:
            fleet.repeat(0, 25.0, self._send_prompt)
        if load.crashing_part_per_s:
            fleet.repeat(
                _START_MS, load.crashing_part_per_s, self._send_crashing_prompt
            )
        if load.restart_ms is not None:
            fleet.after(load.restart_ms, lambda: fleet.restart_daemons(4))
        fleet.play(_END_MS)

    def _send_sound(self) -> None:
        rng = self.fleet.rng
        body = None
        if rng.random() < self._load.repeated:
            body = b"sound %d" % min(int(rng.paretovariate(0.7)), 60)
        self.fleet.arrive(self._plain(body, rng.choice([1, 2])))

    def _send_prompt(self) -> None:
        topic = min(int(self.fleet.rng.paretovariate(0.7)), 60)
        self.fleet.arrive(self._prompt(f"t{topic}"))

    def _send_crashing_prompt(self) -> None:
        self.fleet.arrive(self._prompt(_CRASHING_PART, culprit=_CRASHING_PART))

    def _plain(
        self, body: bytes | None, attempts: int, culprit: str | None = None
    ) -> SimulatedRequest:
        return SimulatedRequest(
            service=_PLAIN,
            traits=self.fleet.create_traits(body=body),
            max_attempts=attempts,
            min_response_ms=5,
            mean_response_ms=30,
            culprit=culprit,
            crash_ms=(30, 120),
        )

    def _prompt(
        self, part: str, culprit: str | None = None
    ) -> SimulatedRequest:
        beginning = f"b{min(int(self.fleet.rng.paretovariate(1)), 3)}"
        return SimulatedRequest(
            service=_MODEL,
            traits=self.fleet.create_traits(beginning, part),
            max_attempts=3,
            mean_response_ms=1_200,
            responds_early=True,
            culprit=culprit,
        )


# With the last two, two deadly requests end the same upstream.
@pytest.mark.parametrize("seed", [0, 1, 2, 3, 7, 10])
@pytest.mark.parametrize(
    "load",
    [
        _Load(name="usual"),
        _Load(name="one attempt", deadly_attempts=1),
        _Load(name="three attempts", deadly_attempts=3),
        _Load(name="rare repeats", deadly_per_s=0.5),
        _Load(name="many repeats", deadly_per_s=5.0),
        _Load(
            name="many repeats of one attempt",
            deadly_per_s=5.0,
            deadly_attempts=1,
        ),
        _Load(name="few sound requests", sound_per_s=1.0),
        _Load(name="many sound requests", sound_per_s=100.0),
        _Load(name="repeated sound requests", sound_per_s=40.0, repeated=0.9),
        _Load(name="lost datagrams", lost_datagrams=0.3),
        _Load(name="restarted daemons", restart_ms=12_500),
        _Load(name="daemons restarted late", restart_ms=25_000),
        _Load(name="other endings", other_endings_per_s=0.7),
        _Load(name="two deadly requests", deadly=2),
        _Load(name="crashing part", crashing_part_per_s=3.0),
    ],
    ids=lambda load: load.name,
)
def test_crashing_request_is_refused_in_time_and_no_other(
    load: _Load, seed: int
) -> None:
    replay = _Replay(load, seed)
    replay.play()
    fleet = replay.fleet
    late = {
        culprit: fleet.late_sends(culprit, _DECISIVE_ENDINGS, in_touch=True)
        for culprit in replay.culprits
    }
    late[_CRASHING_PART] = fleet.late_sends(
        _CRASHING_PART, _DECISIVE_ENDINGS_OF_PART, in_touch=True
    )
    assert max(late.values()) <= _LATE_REQUESTS, late
    assert sum(map(len, fleet.endings_ms.values())) >= 3
    assert fleet.sound > 25
    refused = [
        request
        for request in fleet.refused
        if len(fleet.cuts.get(request.traits.fingerprint, ()))
        < _DECISIVE_ENDINGS
    ]
    assert not refused
    # Sound ones that were themselves cut that often cannot be told apart.
    assert len(fleet.refused) <= 5 + fleet.sound // 500
