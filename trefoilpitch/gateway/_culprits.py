"""Decides which traits of requests upstreams ended under.

All requests of an upstream that ends are cut, so that each ending speaks
against sound traits as well. A trait is blamed only for endings that no other
trait explains better: one that no response has gone well with comes before one
that was sound, and one that is present at more endings before one at fewer. In
an outage for another reason most endings come without it.

An upstream ends under a request that it runs, not under one that waits. Where
it had begun to respond to other requests but to none with a trait, these may
have waited, so that the ending says less about the trait.

A whole request goes before a part that is present at the same endings, as it
explains them without other requests.
"""

from __future__ import annotations

import dataclasses
import statistics
from collections.abc import Collection, Iterable, Iterator, Mapping

from trefoilpitch.gateway._crash_evidence import CrashEvidence, Suspicion
from trefoilpitch.gateway._request_traits import is_whole_request

# More than a request without other ones can end: routes allow three attempts.
_MIN_ENDINGS = 4
# The same for a whole request, of which each repeat ends further upstreams.
_MIN_ENDINGS_OF_REQUEST = 3
# The same for a whole request while evidence may have been lost: other daemons
# may have seen it end further upstreams.
_MIN_ENDINGS_IF_CAUTIOUS = 2
# Requests that are stored before they are blamed; a crash of many upstreams
# makes many of them suspect.
_MAX_SUSPECTS = 8
# Upstreams that lose power or are stopped together end at one moment.
_MIN_MOMENTS = 2
# The same for a trait that responses went well with before: in an outage for
# another reason, streams with the same trait are cut time after time.
_MIN_MOMENTS_IF_SOUND_BEFORE = 7
# Share of all upstreams that ended meanwhile.
_MIN_SHARE = 0.6
# What an ending counts in that share if the trait may have waited there while
# others were responded to.
_WAITING_WEIGHT = 0.5
# Time within which upstreams that end together are seen to have ended.
_SAME_MOMENT_MS = 25
# Time until all daemons have told what they know about an ending; heartbeats
# with new evidence are sent at once.
_SETTLING_MS = 300


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Thresholds:
    """How much evidence a decision takes."""

    # Endings under a whole request.
    min_endings_of_request: int
    # Time until an ending counts.
    settling_ms: int


USUAL = Thresholds(
    min_endings_of_request=_MIN_ENDINGS_OF_REQUEST, settling_ms=_SETTLING_MS
)
# Endings count at once, as the request may have ended many upstreams before.
CAUTIOUS = Thresholds(
    min_endings_of_request=_MIN_ENDINGS_IF_CAUTIOUS, settling_ms=0
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Culprit:
    """Traits that upstreams end under when a request has all of them.

    Usually this is one; several are named while the endings cannot tell
    them apart.
    """

    traits: frozenset[int]
    # The upstreams that ended.
    upstreams: frozenset[int]
    # Those of them that had begun to respond to the traits.
    responding: int
    # Monotonic time of the last ending.
    last_ms: int
    # Those that had begun to respond to other requests only.
    waiting: frozenset[int]
    # Whether responses with the traits went well before.
    was_sound: bool
    # Whether another request explains the same endings as well.
    ambiguous: bool = False

    @property
    def is_presumed(self) -> bool:
        """Whether it is blamed for fewer endings than usually."""
        return len(self.upstreams) < _MIN_ENDINGS_OF_REQUEST


def find_culprits(
    evidence: CrashEvidence, now_ms: int, thresholds: Thresholds = USUAL
) -> list[Culprit]:
    """Returns the traits that are to blame for endings, the surest ones first.

    Args:
        evidence: The fleet's evidence as far as this daemon knows it.
        now_ms: The monotonic time.
        thresholds: How much evidence it takes.
    """
    newest_ms = evidence.newest_sound_ms
    suspicions = [
        _settled(suspicion, now_ms - thresholds.settling_ms)
        for suspicion in suspicions_with_enough_endings(evidence, thresholds)
        if _others_go_well(suspicion, newest_ms)
    ]
    settled_ms = {
        upstream: ended_ms
        for upstream, ended_ms in evidence.ended_ms.items()
        if now_ms - ended_ms >= thresholds.settling_ms
    }
    culprits: list[Culprit] = []
    unexplained_ms = settled_ms
    # Endings that count against traits that are absent: culprits that may have
    # waited at an ending leave it open.
    counted_ms = settled_ms
    for was_sound, min_moments in (
        (False, _MIN_MOMENTS),
        (True, _MIN_MOMENTS_IF_SOUND_BEFORE),
    ):
        group = [s for s in suspicions if s.was_sound is was_sound]
        while True:
            strongest = _strongest(
                group,
                unexplained_ms,
                counted_ms,
                min_moments,
                thresholds,
            )
            if not strongest:
                break
            culprits.extend(strongest)
            first = strongest[0]
            unexplained_ms = _without(unexplained_ms, first.upstreams)
            counted_ms = _without(counted_ms, first.upstreams - first.waiting)
    return culprits + _partly_explained(suspicions, culprits)


def find_suspects(
    evidence: CrashEvidence, culprits: Collection[Culprit]
) -> list[Culprit]:
    """Returns whole requests that are not blamed, for lack of one ending.

    Args:
        evidence: The fleet's evidence as far as this daemon knows it.
        culprits: The traits that are blamed.
    """
    blamed = frozenset().union(*(c.traits for c in culprits))
    found = [
        _Explanation(
            suspicion=suspicion, upstreams=frozenset(suspicion.ended_ms)
        ).culprit([suspicion.trait], ambiguous=True)
        for suspicion in suspicions_with_enough_endings(evidence, CAUTIOUS)
        if is_whole_request(suspicion.trait)
        and not suspicion.was_sound
        and suspicion.trait not in blamed
        and _moments(suspicion.ended_ms.values()) >= _MIN_MOMENTS
    ]
    found.sort(key=lambda culprit: culprit.last_ms, reverse=True)
    return found[:_MAX_SUSPECTS]


def _without(
    ended_ms: Mapping[int, int], upstreams: Collection[int]
) -> dict[int, int]:
    return {k: t for k, t in ended_ms.items() if k not in upstreams}


def _partly_explained(
    suspicions: Iterable[Suspicion], culprits: Collection[Culprit]
) -> list[Culprit]:
    """Returns the requests that some of their endings still speak against.

    Two requests that end upstreams at the same time are cut by each other: the
    endings that one of them explains may leave too few of the other one's.
    """
    explained = frozenset().union(*(c.upstreams for c in culprits))
    blamed = frozenset().union(*(c.traits for c in culprits))
    return [
        _Explanation(
            suspicion=suspicion, upstreams=frozenset(suspicion.ended_ms)
        ).culprit([suspicion.trait], ambiguous=True)
        for suspicion in suspicions
        if is_whole_request(suspicion.trait)
        and not suspicion.was_sound
        and suspicion.trait not in blamed
        and len(suspicion.ended_ms) >= _MIN_ENDINGS_OF_REQUEST
        and not suspicion.ended_ms.keys() <= explained
    ]


def suspicions_with_enough_endings(
    evidence: CrashEvidence, thresholds: Thresholds = USUAL
) -> Iterator[Suspicion]:
    """Yields what speaks against the traits that may be to blame."""
    for suspicion in evidence.suspicions(thresholds.min_endings_of_request):
        min_endings = _min_endings(suspicion.trait, thresholds)
        if len(suspicion.ended_ms) >= min_endings:
            yield suspicion


def _min_endings(trait: int, thresholds: Thresholds) -> int:
    if is_whole_request(trait):
        return thresholds.min_endings_of_request
    return _MIN_ENDINGS


def _settled(suspicion: Suspicion, until_ms: int) -> Suspicion:
    return dataclasses.replace(
        suspicion,
        ended_ms={
            upstream: ended_ms
            for upstream, ended_ms in suspicion.ended_ms.items()
            if ended_ms <= until_ms
        },
    )


def _others_go_well(suspicion: Suspicion, newest_sound_ms: int | None) -> bool:
    """Whether responses to requests without a trait go well.

    If responses with it went well before, one without it must have gone well
    after most of its endings: an outage also ends a trait's luck.
    """
    if newest_sound_ms is None:
        return False
    if not suspicion.was_sound:
        return True
    median_ms = statistics.median_high(suspicion.ended_ms.values())
    return newest_sound_ms > median_ms


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Explanation:
    """The endings that a trait would explain."""

    suspicion: Suspicion
    upstreams: frozenset[int]

    @property
    def trait(self) -> int:
        return self.suspicion.trait

    @property
    def responding(self) -> int:
        """Number of the upstreams that had begun to respond to the trait."""
        return len(self.suspicion.responding & self.upstreams)

    @property
    def waiting(self) -> frozenset[int]:
        """Those that had begun to respond to other requests only."""
        return self.suspicion.waiting & self.upstreams

    @property
    def strength(self) -> tuple[int, int]:
        """Sorts explanations.

        A request may end an upstream as soon as it runs, before any response.
        """
        endings = len(self.upstreams)
        if is_whole_request(self.trait):
            return endings, endings
        return endings, self.responding

    def culprit(
        self, traits: Iterable[int], *, ambiguous: bool = False
    ) -> Culprit:
        times_ms = self.suspicion.ended_ms
        return Culprit(
            traits=frozenset(traits),
            upstreams=self.upstreams,
            responding=self.responding,
            waiting=self.waiting,
            last_ms=max(times_ms[k] for k in self.upstreams),
            was_sound=self.suspicion.was_sound,
            ambiguous=ambiguous,
        )


def _strongest(
    suspicions: Iterable[Suspicion],
    unexplained_ms: Mapping[int, int],
    counted_ms: Mapping[int, int],
    min_moments: int,
    thresholds: Thresholds,
) -> list[Culprit]:
    """Returns the culprits that explain most endings, all the same ones."""
    explanations = [
        _Explanation(
            suspicion=suspicion,
            upstreams=frozenset(
                suspicion.ended_ms.keys() & unexplained_ms.keys()
            ),
        )
        for suspicion in suspicions
    ]
    valid = [
        k
        for k in explanations
        if len(k.upstreams) >= _min_endings(k.trait, thresholds)
        and _is_valid(k, counted_ms, min_moments)
    ]
    if not valid:
        return []
    first = max(valid, key=lambda k: k.strength)
    equal = [
        k
        for k in valid
        if k.strength == first.strength and k.upstreams == first.upstreams
    ]
    requests = [k for k in equal if is_whole_request(k.trait)]
    if not requests:
        return [first.culprit(k.trait for k in equal)]
    ambiguous = len(requests) > 1
    return [k.culprit([k.trait], ambiguous=ambiguous) for k in requests]


def _is_valid(
    explanation: _Explanation,
    counted_ms: Mapping[int, int],
    min_moments: int,
) -> bool:
    """Whether endings of sufficient number speak against a trait."""
    upstreams = explanation.upstreams
    ended_ms = explanation.suspicion.ended_ms
    if _moments(ended_ms[k] for k in upstreams) < min_moments:
        return False
    was_sound = explanation.suspicion.was_sound
    if is_whole_request(explanation.trait) and not was_sound:
        # Each upstream that got the request has ended.
        return True
    return _is_usual(explanation, counted_ms)


def _is_usual(explanation: _Explanation, counted_ms: Mapping[int, int]) -> bool:
    """Whether a trait explains most endings between its first and last one."""
    upstreams = explanation.upstreams
    times_ms = [explanation.suspicion.ended_ms[k] for k in upstreams]
    first_ms, last_ms = min(times_ms), max(times_ms)
    others = sum(
        first_ms <= ended_ms <= last_ms
        for ended_ms in _without(counted_ms, upstreams).values()
    )
    weight = len(upstreams) - (1 - _WAITING_WEIGHT) * len(explanation.waiting)
    return weight >= _MIN_SHARE * (weight + others)


def _moments(times_ms: Iterable[int]) -> int:
    """Counts times, those of the same moment once."""
    count = 0
    moment_ms: int | None = None
    for time_ms in sorted(times_ms):
        if moment_ms is None or time_ms - moment_ms > _SAME_MOMENT_MS:
            count += 1
            moment_ms = time_ms
    return count
