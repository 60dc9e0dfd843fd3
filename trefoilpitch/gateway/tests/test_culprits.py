"""Decisions on which parts of prompts upstreams end under."""

from __future__ import annotations

import dataclasses

import msgspec
import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.gateway import CallerRequest, HttpRequest, PrefixPart
from trefoilpitch.gateway._crash_evidence import (
    CrashEvidence,
    EvidenceReport,
)
from trefoilpitch.gateway._culprits import find_culprits
from trefoilpitch.gateway._quarantine import Quarantine
from trefoilpitch.gateway._request_traits import (
    RequestTraits,
    part_digest,
    request_traits,
)

_MINUTE_MS = 60_000
_PROBE_AFTER_MS = 10 * _MINUTE_MS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Case:
    """Responses to prompts, in order, and the parts to blame.

    Each event is the time in milliseconds, the upstream that ended (None for
    a response that went well) and the shared parts; a part in upper case was
    not responded to yet.
    """

    name: str
    events: tuple[tuple[int, int | None, str], ...]
    blamed: tuple[str, ...]


def _endings(
    parts: str, *times_ms: int, first: int = 1
) -> tuple[tuple[int, int | None, str], ...]:
    return tuple((t, n, parts) for n, t in enumerate(times_ms, start=first))


_OTHERS = ((100, None, "x"), (5_000, None, "x"))
_FOUR = (1_000, 1_200, 1_400, 1_600)
_SIX = (*_FOUR, 1_800, 2_000)

_CASES = [
    _Case(
        name="the part that all upstreams ended under",
        events=(*_OTHERS, *_endings("p", *_FOUR)),
        blamed=("p",),
    ),
    _Case(
        name="three endings may be those of one request",
        events=(*_OTHERS, *_endings("p", *_FOUR[:3])),
        blamed=(),
    ),
    _Case(
        name="the same upstream counts once",
        events=(*_OTHERS, *((t, 1, "p") for t in _FOUR)),
        blamed=(),
    ),
    _Case(
        name="a rare part that was cut by the same endings",
        events=(
            *_OTHERS,
            *_endings("p", *_FOUR, 1_800, 2_000),
            *_endings("q", *_FOUR),
        ),
        blamed=("p",),
    ),
    _Case(
        name="a rare part with more endings of its own than others explain",
        events=(
            *_OTHERS,
            *_endings("p", *_FOUR, 1_800, 2_000),
            *_endings("q", *_FOUR, first=3),
        ),
        blamed=("p",),
    ),
    _Case(
        name="a beginning that responses go well with meanwhile",
        events=(*_OTHERS, *_endings("bp", *_FOUR), (1_500, None, "b")),
        blamed=("p",),
    ),
    _Case(
        name="a beginning that responses went well with before",
        events=((500, None, "b"), *_OTHERS, *_endings("bp", *_FOUR, 1_800)),
        blamed=("p",),
    ),
    _Case(
        name="a beginning with one ending more that has another cause",
        events=(
            (500, None, "b"),
            *_OTHERS,
            *_endings("bp", *_FOUR, 1_800),
            (2_000, 9, "b"),
        ),
        blamed=("p",),
    ),
    _Case(
        name="parts that the endings cannot tell apart",
        events=(*_OTHERS, *_endings("pq", *_FOUR)),
        blamed=("pq",),
    ),
    _Case(
        name="one more ending tells them apart",
        events=(*_OTHERS, *_endings("pq", *_FOUR), (1_800, 5, "p")),
        blamed=("p",),
    ),
    _Case(
        name="the part that the upstreams had begun to respond to",
        events=(
            *_OTHERS,
            *_endings("p", *_FOUR),
            *_endings("Q", *_FOUR),
        ),
        blamed=("p",),
    ),
    _Case(
        name="two parts with endings of their own",
        events=(
            *_OTHERS,
            *_endings("p", *_FOUR),
            *_endings("r", 2_000, 2_200, 2_400, 2_600, first=11),
        ),
        blamed=("p", "r"),
    ),
    _Case(
        name="a part that was sound needs seven endings",
        events=((500, None, "p"), *_OTHERS, *_endings("p", *_SIX)),
        blamed=(),
    ),
    _Case(
        name="a part that was sound and ends upstreams now",
        events=((500, None, "p"), *_OTHERS, *_endings("p", *_SIX, 2_200)),
        blamed=("p",),
    ),
    _Case(
        name="nothing goes well any more, whatever the part",
        events=((500, None, "p"), *_endings("p", *_SIX, 2_200, 2_400)),
        blamed=(),
    ),
    _Case(
        name="no response has gone well yet",
        events=_endings("p", *_SIX),
        blamed=(),
    ),
    _Case(
        name="other upstreams end without the part",
        events=(
            *_OTHERS,
            *_endings("p", *_FOUR),
            *_endings("v", 1_100, first=21),
            *_endings("w", 1_300, first=22),
            *_endings("y", 1_500, first=23),
        ),
        blamed=(),
    ),
    _Case(
        name="few other upstreams end without the part",
        events=(
            *_OTHERS,
            *_endings("p", *_FOUR),
            *_endings("v", 1_100, first=21),
            *_endings("w", 1_300, first=22),
        ),
        blamed=("p",),
    ),
    _Case(
        name="a response that goes well ends the suspicion",
        events=(
            *_OTHERS,
            *_endings("p", *_FOUR, 1_800),
            (2_000, None, "p"),
        ),
        blamed=(),
    ),
    _Case(
        name="several requests end upstreams at almost the same moment",
        events=(*_OTHERS, *_endings("p", 1_000, 1_010, 1_050, 1_060)),
        blamed=("p",),
    ),
    _Case(
        name="upstreams that end at the same moment have a common cause",
        events=(*_OTHERS, *_endings("p", 1_000, 1_002, 1_004, 1_006, 1_008)),
        blamed=(),
    ),
]


def _evidence(case: _Case) -> CrashEvidence:
    evidence = CrashEvidence()
    for time_ms, upstream, parts in sorted(case.events, key=lambda e: e[0]):
        digests = [part_digest(part) for part in parts.lower()]
        if upstream is None:
            evidence.record_sound(digests, time_ms)
        else:
            evidence.record_ending(
                upstream, digests, time_ms, responding=parts.islower()
            )
    return evidence


@pytest.mark.parametrize("case", _CASES, ids=lambda case: case.name)
def test_parts_are_blamed_only_for_what_no_other_explains(case: _Case) -> None:
    culprits = find_culprits(_evidence(case), 10_000)
    expected = [
        frozenset(part_digest(part) for part in parts) for parts in case.blamed
    ]
    assert {c.traits for c in culprits} == set(expected)


def test_endings_count_once_all_daemons_had_time_to_tell_of_them() -> None:
    evidence = CrashEvidence()
    digest = part_digest("p")
    for upstream, ended_ms in enumerate(_FOUR):
        evidence.record_ending(upstream, [digest], ended_ms, responding=True)
    evidence.record_sound([part_digest("x")], 1_650)
    assert not find_culprits(evidence, 1_700)
    assert find_culprits(evidence, 1_900)


def test_daemons_add_up_what_each_of_them_has_seen() -> None:
    seen = [CrashEvidence() for _ in range(4)]
    for number, evidence in enumerate(seen):
        evidence.record_ending(
            number,
            [part_digest("b"), part_digest("p")],
            1_000 + 200 * number,
            responding=True,
        )
    seen[0].record_sound([part_digest("b")], 1_900)
    last = CrashEvidence()
    # The last daemon hears of the first one only through the second one.
    seen[1].merge(seen[0].report(2_000, ()), 2_003)
    for evidence in seen[1:]:
        last.merge(evidence.report(2_000, ()), 2_003)
    last.merge(seen[0].report(2_000, ()), 2_003)
    (culprit,) = find_culprits(last, 3_000)
    assert culprit.traits == {part_digest("p")}
    assert len(culprit.upstreams) == 4


def test_evidence_does_not_grow_younger_as_it_is_passed_on() -> None:
    first, second = CrashEvidence(), CrashEvidence()
    first.record_ending(1, [7], 1_000, responding=True)
    first.record_sound([7], 1_100)
    for now_ms in range(2_000, 4_000, 10):
        second.merge(first.report(now_ms, ()), now_ms + 5)
        first.merge(second.report(now_ms, ()), now_ms + 5)
    for evidence in (first, second):
        known = evidence.knowledge(7, 4_000)
        assert known.sound_age_ms in (2_895, 2_900)
        assert known.endings == 1
        assert evidence.suspicion(7) is None


def test_report_of_many_endings_fits_into_a_datagram() -> None:
    evidence = CrashEvidence()
    for number in range(300):
        parts = [part_digest("p"), part_digest(f"q{number}")]
        evidence.record_ending(
            part_digest(f"u{number}"), parts, 1_000 + number, responding=True
        )
        evidence.record_sound(parts[1:], 1_000 + number)
    report = evidence.report(5_000, ())
    # Leaves 300 bytes of a datagram for the rest of the heartbeat.
    assert len(msgspec.msgpack.encode(report)) <= 900
    assert report.traits[0][0] == part_digest("p")
    evidence.expire(5_000, ())
    other = CrashEvidence()
    other.merge(report, 5_000)
    assert other.knowledge(part_digest("p"), 5_000).endings == 24


def _request(*parts: str, own: str = "own") -> RequestTraits:
    http = HttpRequest(
        method=b"POST", target=b"/", headers=(), body=b"", arrived_ms=0
    )
    request = CallerRequest(
        http=http,
        request_id="id",
        host="",
        path="/",
        api_key=None,
        wait_ms=None,
        prefix=tuple(
            PrefixPart(part_id=part, tokens=1) for part in (*parts, own)
        ),
    )
    return request_traits(request, None)


def _quarantine(
    clock: ManualClock, evidence: CrashEvidence, name: str
) -> Quarantine:
    return Quarantine(
        evidence,
        clock,
        own_name=name,
        live_peers=lambda: {"vm-1", "vm-2", "vm-3"} - {name},
    )


def _fleet(
    parts: str = "p",
) -> tuple[ManualClock, list[CrashEvidence], list[Quarantine]]:
    """Returns three daemons that have seen four endings under some parts."""
    clock = ManualClock()
    clock.advance(10_000)
    evidences = [CrashEvidence() for _ in range(3)]
    for evidence in evidences:
        for upstream in range(4):
            evidence.record_ending(
                upstream,
                [part_digest(part) for part in parts],
                5_000 + 200 * upstream,
                responding=True,
            )
        evidence.record_sound([part_digest("x")], 6_000)
    names = ("vm-1", "vm-2", "vm-3")
    return (
        clock,
        evidences,
        [
            _quarantine(clock, evidence, name)
            for evidence, name in zip(evidences, names, strict=True)
        ],
    )


def test_only_requests_with_all_blamed_parts_are_refused() -> None:
    _, _, (quarantine, *_) = _fleet("pq")
    for parts, refused in (
        (("b", "p", "q"), True),
        (("q", "p"), True),
        (("b", "p"), False),
        (("q",), False),
        ((), False),
    ):
        request = _request(*parts)
        assert (quarantine.refused_for_ms(request) is not None) is refused
        assert quarantine.start_attempt(request) is not refused


def test_last_part_belongs_to_the_request_and_is_never_blamed() -> None:
    _, _, (quarantine, *_) = _fleet()
    request = _request("b", own="p")
    assert quarantine.refused_for_ms(request) is None


def test_one_daemon_probes_once_after_the_quarantine() -> None:
    clock, _, quarantines = _fleet()
    request = _request("b", "p")
    waits_ms = [q.refused_for_ms(request) for q in quarantines]
    assert all(w and w > 9 * _MINUTE_MS for w in waits_ms)
    clock.advance(_PROBE_AFTER_MS)
    sent = [q.start_attempt(request) for q in quarantines for _ in range(5)]
    assert sum(sent) == 1
    clock.advance(_MINUTE_MS)
    sent = [q.start_attempt(request) for q in quarantines for _ in range(5)]
    assert sum(sent) == 1


def test_probe_that_ends_its_upstream_renews_the_quarantine() -> None:
    clock, evidences, quarantines = _fleet()
    request = _request("p")
    assert all(q.refused_for_ms(request) for q in quarantines)
    for number in range(8):
        clock.advance(_PROBE_AFTER_MS)
        assert sum(q.start_attempt(request) for q in quarantines) == 1
        for evidence in evidences:
            evidence.record_ending(
                100 + number,
                [part_digest("p")],
                clock.now_ms(),
                responding=True,
            )
            evidence.record_sound([part_digest("x")], clock.now_ms())
        clock.advance(_PROBE_AFTER_MS // 2)
        assert not any(q.start_attempt(request) for q in quarantines)


def test_probe_that_goes_well_ends_the_quarantine_at_all_daemons() -> None:
    clock, evidences, quarantines = _fleet()
    request = _request("p")
    assert all(q.refused_for_ms(request) for q in quarantines)
    clock.advance(_PROBE_AFTER_MS)
    (number,) = (
        n for n, q in enumerate(quarantines) if q.start_attempt(request)
    )
    evidences[number].record_sound([part_digest("p")], clock.now_ms())
    clock.advance(10)
    for quarantine in quarantines:
        quarantine.merge(quarantines[number].report())
    assert all(q.start_attempt(request) for q in quarantines for _ in range(3))


def test_daemon_that_has_just_started_learns_from_one_peer() -> None:
    clock, _, (quarantine, *_) = _fleet()
    clock.advance(5 * _MINUTE_MS)
    late = _quarantine(clock, CrashEvidence(), "vm-4")
    request = _request("p")
    assert late.start_attempt(request)
    late.merge(quarantine.report())
    assert not late.start_attempt(request)


def test_endings_of_a_quarantine_are_reported_before_newer_ones() -> None:
    clock, (evidence, *_), (quarantine, *_) = _fleet()
    for number in range(100, 200):
        evidence.record_ending(
            number, [part_digest(f"q{number}")], 9_000, responding=True
        )
    late = _quarantine(clock, CrashEvidence(), "vm-4")
    late.merge(quarantine.report())
    assert not late.start_attempt(_request("p"))


def test_empty_report_changes_nothing() -> None:
    evidence = CrashEvidence()
    evidence.merge(EvidenceReport(), 0)
    assert evidence.revision == 0
