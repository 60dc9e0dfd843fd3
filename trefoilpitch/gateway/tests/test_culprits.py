"""Decisions on which parts of prompts upstreams end under."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection

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
# Digest of a whole request, to which a number may be added.
_WHOLE_REQUEST = 1 << 32


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Case:
    """Responses to prompts, in order, and the parts to blame.

    Each event is the time in milliseconds, the upstream that ended (None for
    a response that went well) and the traits: letters for shared parts, in
    upper case if not responded to yet, and digits for whole requests.
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
        name="a part that waited while others were responded to",
        events=(
            *_OTHERS,
            *_endings("P", *_FOUR[:3]),
            *_endings("s", *_FOUR[:3]),
            (1_600, 4, "p"),
            *_endings("v", 1_100, first=21),
            *_endings("w", 1_300, first=22),
        ),
        blamed=(),
    ),
    _Case(
        name="a part that ends upstreams before they respond to it",
        events=(
            *_OTHERS,
            *_endings("P", *_FOUR),
            *_endings("s", *_FOUR[:2]),
            *_endings("t", *_FOUR[2:], first=3),
            *_endings("v", 1_100, first=21),
        ),
        blamed=("p",),
    ),
    _Case(
        name="endings that a waiting request was cut by have another cause",
        events=(
            *_OTHERS,
            *_endings("p", *_FOUR),
            *_endings("B1", 1_100, 1_300, 1_500, first=21),
            *_endings("v", 1_100, first=21),
            *_endings("w", 1_300, first=22),
            *_endings("y", 1_500, first=23),
        ),
        blamed=("1",),
    ),
    _Case(
        name="endings that a request explains that was responded to",
        events=(
            *_OTHERS,
            *_endings("p", *_FOUR),
            *_endings("1", 1_100, 1_300, 1_500, first=21),
        ),
        blamed=("1", "p"),
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
        name="a request that ended three upstreams",
        events=(*_OTHERS, *_endings("1", *_FOUR[:3])),
        blamed=("1",),
    ),
    _Case(
        name="two endings of a request may be chance",
        events=(*_OTHERS, *_endings("1", *_FOUR[:2])),
        blamed=(),
    ),
    _Case(
        name="a request whose upstreams had not begun to respond",
        events=(
            *_OTHERS,
            *_endings("B1", *_FOUR),
            *_endings("q", *_FOUR),
        ),
        blamed=("1",),
    ),
    _Case(
        name="a request and not the parts of its prompt",
        events=(*_OTHERS, *_endings("bp1", *_FOUR)),
        blamed=("1",),
    ),
    _Case(
        name="a part that several requests ended upstreams with",
        events=(
            *_OTHERS,
            *_endings("p1", *_FOUR[:3]),
            *_endings("p2", 1_600, 1_800, first=4),
        ),
        blamed=("p",),
    ),
    _Case(
        name="another request that was cut by some of the same endings",
        events=(
            *_OTHERS,
            *_endings("1", *_FOUR),
            *_endings("2", *_FOUR[:3]),
        ),
        blamed=("1",),
    ),
    _Case(
        name="requests that the endings cannot tell apart",
        events=(
            *_OTHERS,
            *_endings("1", *_FOUR[:3]),
            *_endings("2", *_FOUR[:3]),
        ),
        blamed=("1", "2"),
    ),
    _Case(
        name="two requests that were cut by each other",
        events=(
            *_OTHERS,
            *_endings("1", *_FOUR),
            *_endings("2", *_FOUR[:2]),
            (1_800, 5, "2"),
        ),
        blamed=("1", "2"),
    ),
    _Case(
        name="a request that went well afterwards",
        events=(*_OTHERS, *_endings("1", *_FOUR), (2_000, None, "1")),
        blamed=(),
    ),
    _Case(
        name="a request, though more upstreams end without it",
        events=(
            *_OTHERS,
            *_endings("1", 1_000, 3_000, 4_000),
            *_endings("v", 1_100, 1_300, 1_500, first=21),
            *_endings("w", 2_100, 2_300, 2_500, first=24),
        ),
        blamed=("1",),
    ),
    _Case(
        name="a request that went well before and is cut in an outage",
        events=((500, None, "1"), *_OTHERS, *_endings("1", *_SIX)),
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


def _digest(trait: str) -> int:
    if trait.isdigit():
        return _WHOLE_REQUEST + int(trait)
    return part_digest(trait)


def _evidence(case: _Case) -> CrashEvidence:
    evidence = CrashEvidence()
    for time_ms, upstream, parts in sorted(case.events, key=lambda e: e[0]):
        digests = [_digest(trait) for trait in parts.lower()]
        if upstream is None:
            evidence.record_sound(digests, time_ms)
        else:
            evidence.record_ending(
                upstream, digests, time_ms, responding=not parts.isupper()
            )
    return evidence


@pytest.mark.parametrize("case", _CASES, ids=lambda case: case.name)
def test_parts_are_blamed_only_for_what_no_other_explains(case: _Case) -> None:
    culprits = find_culprits(_evidence(case), 10_000)
    expected = [
        frozenset(_digest(trait) for trait in traits) for traits in case.blamed
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


def _request(
    *parts: str,
    own: str = "own",
    target: bytes = b"/",
    workspace: str | None = None,
    body: bytes = b"",
) -> RequestTraits:
    http = HttpRequest(
        method=b"POST", target=target, headers=(), body=body, arrived_ms=0
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
    return request_traits(request, workspace)


def _quarantine(
    clock: ManualClock,
    evidence: CrashEvidence,
    name: str,
    peers: Collection[str] = ("vm-1", "vm-2", "vm-3"),
) -> Quarantine:
    return Quarantine(
        evidence,
        clock,
        own_name=name,
        live_peers=lambda: set(peers) - {name},
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


def test_request_that_ended_three_upstreams_is_refused_by_all_daemons() -> None:
    clock = ManualClock()
    clock.advance(10_000)
    evidences = [CrashEvidence() for _ in range(3)]
    quarantines = [
        _quarantine(clock, evidence, f"vm-{number}")
        for number, evidence in enumerate(evidences, start=1)
    ]
    deadly = _request()
    for number, evidence in enumerate(evidences):
        evidence.record_sound(_request("x", body=b"other").digests, 1_000)
        evidence.record_ending(
            number, deadly.digests, 9_000 + 100 * number, responding=False
        )
    assert all(q.start_attempt(deadly) for q in quarantines)
    for quarantine in quarantines:
        for other in quarantines:
            quarantine.merge(other.report())
    clock.advance(1_000)
    assert not any(q.start_attempt(deadly) for q in quarantines)
    for request in (
        _request(body=b"other"),
        _request(workspace="other"),
        _request(target=b"/?a=b"),
    ):
        assert all(q.start_attempt(request) for q in quarantines)


def test_requests_that_the_endings_cannot_tell_apart_are_probed_soon() -> None:
    clock = ManualClock()
    clock.advance(10_000)
    evidence = CrashEvidence()
    quarantine = _quarantine(clock, evidence, "vm-1")
    deadly, sound = _request(), _request(body=b"other")
    evidence.record_sound(_request("x", body=b"third").digests, 1_000)
    for upstream in range(3):
        for request in (deadly, sound):
            evidence.record_ending(
                upstream,
                request.digests,
                9_000 + 100 * upstream,
                responding=False,
            )
    assert not quarantine.start_attempt(deadly)
    assert not quarantine.start_attempt(sound)
    clock.advance(_MINUTE_MS)
    alone = _quarantine(clock, evidence, "vm-1", peers=())
    assert alone.start_attempt(sound)
    evidence.record_sound(sound.digests, clock.now_ms())
    assert alone.start_attempt(sound)
    assert alone.refused_for_ms(deadly) is not None


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
