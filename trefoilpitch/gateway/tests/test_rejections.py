"""What daemons know of the limits that upstreams announce."""

from __future__ import annotations

import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.gateway._rejections import RejectionLimits

_DEMANDS = {f"vm-{number}": 40 for number in range(9)}


def _limits(name: str = "vm-0") -> RejectionLimits:
    return RejectionLimits(ManualClock(10_000), name)


def _allows(
    limits: RejectionLimits,
    *,
    in_flight: int = 0,
    load: int = 0,
    upstream_id: str = "u",
) -> bool:
    return limits.allows(
        "s",
        upstream_id,
        slots=64,
        in_flight=in_flight,
        load=load,
        demands=_DEMANDS,
    )


def test_upstreams_without_an_announcement_are_not_limited() -> None:
    limits = _limits()
    limits.announce("s", "u", None)
    assert limits.limit_per_s("s", "u") is None
    assert _allows(limits, in_flight=500, load=500)


def test_upstream_that_has_just_started_is_like_its_service() -> None:
    """It announces nothing until the first response."""
    limits = _limits()
    limits.announce("s", "u", 5)
    assert limits.limit_per_s("s", "new") == 5
    limits.announce("s", "new", None)
    assert limits.limit_per_s("s", "new") is None
    assert limits.limit_per_s("s", "u") == 5
    assert limits.limit_per_s("other", "x") is None


def test_announcement_ends_with_a_response_without_it() -> None:
    limits = _limits()
    limits.announce("s", "u", 5)
    limits.announce("s", "u", None)
    assert limits.limit_per_s("s", "u") is None
    assert limits.limit_per_s("s", "new") is None


def test_limits_heard_from_peers_are_not_passed_on() -> None:
    """Daemons would otherwise confirm each other after the end."""
    clock = ManualClock(10_000)
    limits = RejectionLimits(clock, "vm-0")
    limits.adopt({"s": 7})
    assert limits.limit_per_s("s", "u") == 7
    assert limits.announced() == {}
    limits.announce("s", "u", 5)
    assert limits.announced() == {"s": 5}
    clock.advance(10_000)
    assert limits.announced() == {}
    assert limits.limit_per_s("s", "u") is None


def test_shares_of_all_daemons_fill_the_room_and_no_more() -> None:
    """A burst at all daemons at once, none of which knows of the others."""
    sent = 0
    for name in _DEMANDS:
        limits = _limits(name)
        limits.announce("s", "u", 10)
        in_flight = 0
        while _allows(limits, in_flight=in_flight, load=64 - 1):
            in_flight += 1
        sent += in_flight
    assert sent == 64


def test_rejection_ends_the_requests_for_long_enough() -> None:
    """All daemons together stay below the limit with one each."""
    clock = ManualClock(10_000)
    limits = RejectionLimits(clock, "vm-0")
    limits.announce("s", "u", 6)
    assert _allows(limits)
    limits.record_rejection("s", "u", len(_DEMANDS))
    clock.advance(int(1_000 * len(_DEMANDS) / 6))
    assert not _allows(limits)
    clock.advance(int(1_000 * len(_DEMANDS) / 6))
    assert _allows(limits)


@pytest.mark.parametrize(("running", "allowed"), [(20, 2), (64, 7)])
def test_upstream_with_a_queue_before_its_slots_are_in_use_has_less_room(
    running: int, allowed: int
) -> None:
    limits = _limits()
    limits.announce("s", "u", 10)
    assert _allows(limits)
    limits.record_report("u", running=running, waiting=3, slots=64)
    assert _allows(limits, in_flight=allowed - 1, load=19)
    assert not _allows(limits, in_flight=allowed + 1, load=63)
    assert not _allows(limits, in_flight=allowed + 1, load=63)


def test_removed_upstreams_are_forgotten() -> None:
    limits = _limits()
    limits.announce("s", "u", 5)
    assert _allows(limits)
    limits.record_rejection("s", "u", 9)
    limits.retain({"other"})
    assert limits.limit_per_s("s", "u") == 5
    assert _allows(limits)
