"""Property tests of evidence reports that are well-formed but wrong."""

from __future__ import annotations

import time

import msgspec
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from trefoilpitch.gateway._crash_evidence import CrashEvidence, EvidenceReport
from trefoilpitch.gateway._peers import Heartbeat, PeerSocket

_NOW_MS = 1_000_000
_HOUR_MS = 3_600_000
_MAX_DATAGRAM_BYTES = 65_507
# Processor time for one datagram, far above what a sound one takes.
_SOON_S = 0.2
# Shrinking a failure takes half a minute.
_examples = settings(
    derandomize=True,
    max_examples=200,
    deadline=None,
    phases=[Phase.generate],
)
_integers = st.integers(min_value=-(1 << 63), max_value=(1 << 64) - 1)
_ages = st.one_of(st.integers(min_value=0, max_value=2 * _HOUR_MS), _integers)
_digests = st.one_of(st.integers(min_value=0, max_value=3), _integers)
_reports = st.builds(
    EvidenceReport,
    ended=st.lists(st.tuples(_digests, _ages), max_size=6).map(tuple),
    traits=st.lists(st.tuples(_digests, _integers, _integers), max_size=6).map(
        tuple
    ),
    sound=st.lists(st.tuples(_digests, _ages), max_size=6).map(tuple),
    newest_sound_age_ms=st.one_of(st.none(), _ages),
)


def _receive(evidence: CrashEvidence, report: EvidenceReport) -> None:
    """Merges a report as a peer's datagram brings it, unless malformed."""

    def merge(heartbeat: Heartbeat) -> None:
        evidence.merge(heartbeat.traits, _NOW_MS)

    heartbeat = Heartbeat(
        node="a",
        incarnation="x",
        sequence=1,
        revision=1,
        current=True,
        store_reachable=True,
        ready=True,
        versions=(),
        traits=report,
    )
    data = msgspec.msgpack.encode(heartbeat)
    assert len(data) <= _MAX_DATAGRAM_BYTES
    PeerSocket(merge, lambda _: None).datagram_received(data, ("10.0.0.1", 1))


@_examples
@given(st.lists(_reports, max_size=4))
def test_any_reports_are_merged_and_passed_on(
    reports: list[EvidenceReport],
) -> None:
    evidence = CrashEvidence()
    for report in reports:
        _receive(evidence, report)
    evidence.expire(_NOW_MS, ())
    own = evidence.report(_NOW_MS, ())
    decoded = msgspec.msgpack.decode(
        msgspec.msgpack.encode(own), type=EvidenceReport
    )
    assert decoded == own


@_examples
@given(st.lists(_reports, max_size=4))
def test_any_reported_endings_expire(reports: list[EvidenceReport]) -> None:
    """An ending in the future would never expire."""
    evidence = CrashEvidence()
    for report in reports:
        _receive(evidence, report)
    assert all(ended <= _NOW_MS for ended in evidence.ended_ms.values())
    evidence.expire(_NOW_MS + _HOUR_MS, ())
    assert not evidence.ended_ms


@_examples
@given(st.lists(_reports, max_size=4))
def test_no_reported_response_is_in_the_future(
    reports: list[EvidenceReport],
) -> None:
    """It would clear a trait of endings that have not happened yet."""
    evidence = CrashEvidence()
    for report in reports:
        _receive(evidence, report)
    newest_ms = evidence.newest_sound_ms
    assert newest_ms is None or newest_ms <= _NOW_MS
    for report in reports:
        for trait, _ in report.sound:
            age_ms = evidence.knowledge(trait, _NOW_MS).sound_age_ms
            assert age_ms is None or age_ms >= 0


def test_report_that_fills_a_datagram_is_merged_soon() -> None:
    """The work must not grow with the product of its lists."""
    report = EvidenceReport(
        ended=tuple((upstream, 1) for upstream in range(8_000)),
        traits=tuple((trait, 0, 0) for trait in range(4_000)),
    )
    evidence = CrashEvidence()
    started = time.thread_time()
    _receive(evidence, report)
    assert time.thread_time() - started < _SOON_S
