"""Which evidence on endings reaches the other daemons."""

from __future__ import annotations

import msgspec

from trefoilpitch.gateway._crash_evidence import CrashEvidence

_WHOLE_REQUEST = (1 << 32) | 0x80C01F12
_OTHER_UPSTREAMS = 5
_OTHER_TRAITS = 100
_PLAIN_UPSTREAM = 99


def _evidence_on_other_traits(now_ms: int) -> CrashEvidence:
    """Returns evidence on the streams of several upstreams that ended."""
    evidence = CrashEvidence()
    for upstream in range(_OTHER_UPSTREAMS):
        evidence.record_ending(
            upstream, range(_OTHER_TRAITS), now_ms, responding=True
        )
    return evidence


def test_endings_under_many_other_traits_do_not_displace_a_request() -> None:
    evidence = _evidence_on_other_traits(now_ms=1_000)
    evidence.record_ending(
        _PLAIN_UPSTREAM, [_WHOLE_REQUEST], 2_000, responding=False
    )
    peer = CrashEvidence()
    peer.merge(evidence.report(2_000, frozenset()), 2_000)
    assert peer.knowledge(_WHOLE_REQUEST, 2_000).endings == 1


def test_all_traits_are_reported_in_turn() -> None:
    evidence = _evidence_on_other_traits(now_ms=1_000)
    peer = CrashEvidence()
    for now_ms in range(2_000, 3_000, 100):
        assert evidence.has_unreported(now_ms)
        peer.merge(evidence.report(now_ms, frozenset()), now_ms)
        if not evidence.has_unreported(now_ms):
            break
    assert not evidence.has_unreported(now_ms)
    for trait in range(_OTHER_TRAITS):
        known = peer.knowledge(trait, now_ms)
        assert known.endings == _OTHER_UPSTREAMS
    # Another ending of one of them is reported next.
    evidence.record_ending(_PLAIN_UPSTREAM, [7], now_ms, responding=True)
    assert evidence.has_unreported(now_ms)
    peer.merge(evidence.report(now_ms, frozenset()), now_ms)
    assert peer.knowledge(7, now_ms).endings == _OTHER_UPSTREAMS + 1


def test_report_of_whole_requests_fits_into_a_datagram() -> None:
    evidence = CrashEvidence()
    for number in range(40):
        traits = [_WHOLE_REQUEST + number, (1 << 31) + number]
        for upstream in range(number % 7 + 1):
            evidence.record_ending(
                (1 << 31) + 10 * number + upstream,
                traits,
                1_000 + number,
                responding=True,
            )
        evidence.record_sound(traits[1:], 1_000)
    report = evidence.report(60_000, frozenset())
    # Leaves 300 bytes of a datagram for the rest of the heartbeat.
    assert len(msgspec.msgpack.encode(report)) <= 900


def test_request_that_went_well_since_is_not_reported() -> None:
    evidence = CrashEvidence()
    evidence.record_ending(1, [_WHOLE_REQUEST], 1_000, responding=False)
    evidence.record_sound([_WHOLE_REQUEST], 1_100)
    assert not evidence.has_unreported(1_200)
    assert not evidence.report(1_200, frozenset()).traits
