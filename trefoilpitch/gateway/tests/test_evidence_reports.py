"""Which evidence on endings reaches the other daemons."""

from __future__ import annotations

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
