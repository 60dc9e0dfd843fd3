"""Evidence on traits of requests under which upstreams end.

Load pattern: a defect of an upstream's program ends every upstream that runs a
request with a certain trait: a part of the prompt that many requests share, or
one request that comes again under new ids at any daemon. All other requests of
the upstream are cut with it, so that sound traits are cut as well.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import Annotated, TypeAlias

import msgspec

from trefoilpitch.gateway._request_traits import is_whole_request

# Bounds of the memory: traits with endings, endings, sound parts of prompts and
# sound requests.
_MAX_TRAITS = 1_024
_MAX_ENDINGS = 256
_MAX_SOUND_PARTS = 8_192
_MAX_SOUND_REQUESTS = 4_096
# How long an ending counts: longer than several quarantines, so that a failed
# probe renews them.
_RETENTION_MS = 3_600_000
# Bounds of a report; together with the rest of a heartbeat it must fit into one
# datagram. Traits that are not in quarantine are reported for a while only
# after an ending or a response that went well.
_MAX_REPORTED_TRAITS = 24
# Of these, the places of the strongest traits; the other traits take turns.
_MAX_STRONGEST_TRAITS = 14
_MAX_REPORTED_ENDINGS = 24
_DECISIVE_ENDINGS = 6
_MAX_REPORTED_SOUND_TRAITS = 16
_REPORTED_MS = 60_000

# Evidence on the future would never expire.
_AgeMs: TypeAlias = Annotated[int, msgspec.Meta(ge=0)]


@dataclasses.dataclass(slots=True, kw_only=True)
class AttemptProgress:
    """How far an upstream has come with a request."""

    # Whether the head of a response has arrived.
    responding: bool = False
    # Monotonic time of the first event of a stream; None if there is none.
    first_event_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TraitKnowledge:
    """What is known of a trait."""

    # Number of upstreams that ended while they had a request with the trait.
    endings: int
    # Number of those that had begun to respond to such a request.
    responding: int
    # Time since the last response with the trait that went well, in
    # milliseconds; None if none is known.
    sound_age_ms: int | None


class EvidenceReport(msgspec.Struct, frozen=True, array_like=True):
    """A daemon's view of the fleet's evidence, as its heartbeats carry it.

    Longer lists than a daemon sends are malformed.
    """

    # Upstreams that ended, and the time since, in milliseconds.
    ended: Annotated[
        tuple[tuple[int, _AgeMs], ...],
        msgspec.Meta(max_length=_MAX_REPORTED_ENDINGS),
    ] = ()
    # Traits with bit masks over `ended`: the upstreams that had a request with
    # the trait, and those of them that had begun to respond to it.
    traits: Annotated[
        tuple[tuple[int, int, int], ...],
        msgspec.Meta(max_length=_MAX_REPORTED_TRAITS),
    ] = ()
    # Traits, and the time since this daemon itself last forwarded a complete
    # response with them. Ages that others reported would grow younger each
    # time they are passed on.
    sound: Annotated[
        tuple[tuple[int, _AgeMs], ...],
        msgspec.Meta(max_length=_MAX_REPORTED_SOUND_TRAITS),
    ] = ()
    # Time since it last forwarded a complete response to any request; None if
    # it has not.
    newest_sound_age_ms: _AgeMs | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Suspicion:
    """What speaks against a trait."""

    trait: int
    # Monotonic time of the endings since it was last known to be sound, by
    # upstream.
    ended_ms: dict[int, int]
    # Those of the upstreams that had begun to respond to the trait.
    responding: frozenset[int]
    # Those that had begun to respond to other requests only.
    waiting: frozenset[int]
    # Whether any response with it ever went well.
    was_sound: bool


class CrashEvidence:
    """Records under which traits upstreams ended and responses went well.

    Traits and upstreams are identified by their digests.
    """

    def __init__(self) -> None:
        # Increases with each change that may matter for a decision.
        self.revision = 0
        # Monotonic time when an upstream was seen to have ended.
        self._ended_ms: dict[int, int] = {}
        # By trait: the upstreams that ended, and whether they had begun to
        # respond to a request with the trait.
        self._endings: dict[int, dict[int, bool]] = {}
        # Upstreams that had begun to respond to any request.
        self._responding: set[int] = set()
        # Traits with endings that this daemon has seen itself.
        self._own_traits: set[int] = set()
        # By trait: monotonic time of its last report, and the number of its
        # endings then.
        self._reported: dict[int, tuple[int, int]] = {}
        # By trait: monotonic time of the last response that went well, here
        # and at other daemons.
        self._sound_ms = _SoundTimes()
        self._peers_sound_ms = _SoundTimes()
        # Monotonic time of the last one to any request.
        self._newest_sound_ms: int | None = None
        self._peers_newest_sound_ms: int | None = None

    @property
    def ended_ms(self) -> Mapping[int, int]:
        """Monotonic time of each upstream's ending."""
        return self._ended_ms

    @property
    def newest_sound_ms(self) -> int | None:
        """Monotonic time of the fleet's last response that went well."""
        return _newest(self._newest_sound_ms, self._peers_newest_sound_ms)

    def has_unreported(self, now_ms: int) -> bool:
        """Whether this daemon has seen endings that no report contained."""
        return any(
            self._reported.get(trait, (0, 0))[1] != len(self._endings[trait])
            for trait in self._own_traits
            if self._is_current(trait, now_ms)
        )

    def record_ending(
        self,
        upstream: int,
        traits: Iterable[int],
        now_ms: int,
        *,
        responding: bool,
    ) -> None:
        """Records that an upstream ended while it had a request.

        Args:
            upstream: The upstream.
            traits: Digests of the request's traits.
            now_ms: The monotonic time.
            responding: Whether it had begun to respond to the request.
        """
        for trait in traits:
            self._add(trait, upstream, now_ms, responding=responding)
            self._own_traits.add(trait)

    def record_sound(self, traits: Iterable[int], now_ms: int) -> bool:
        """Records that a response to a request with some traits went well.

        Returns:
            Whether that clears a trait of a suspicion.
        """
        cleared = False
        for trait in traits:
            cleared = cleared or self.suspicion(trait) is not None
            self._sound_ms.add(trait, now_ms)
            self._newest_sound_ms = now_ms
        if cleared:
            self.revision += 1
        return cleared

    def is_cleared(self, trait: int) -> bool:
        """Returns whether a trait is known to be sound and not suspected."""
        known = self._last_sound_ms(trait) is not None
        return known and self.suspicion(trait) is None

    def knowledge(self, trait: int, now_ms: int) -> TraitKnowledge:
        """Returns what is known of a trait."""
        endings = self._endings.get(trait, {})
        sound_ms = self._last_sound_ms(trait)
        return TraitKnowledge(
            endings=len(endings),
            responding=sum(endings.values()),
            sound_age_ms=None if sound_ms is None else now_ms - sound_ms,
        )

    def suspicion(self, trait: int) -> Suspicion | None:
        """Returns what speaks against a trait; None if nothing does."""
        sound_ms = self._last_sound_ms(trait)
        endings = self._endings.get(trait, {})
        ended_ms = {
            upstream: self._ended_ms[upstream]
            for upstream in endings
            if sound_ms is None or self._ended_ms[upstream] > sound_ms
        }
        if not ended_ms:
            return None
        return Suspicion(
            trait=trait,
            ended_ms=ended_ms,
            responding=frozenset(k for k in ended_ms if endings[k]),
            waiting=frozenset(
                k for k in ended_ms if k in self._responding and not endings[k]
            ),
            was_sound=sound_ms is not None,
        )

    def suspicions(self, min_endings: int) -> Iterator[Suspicion]:
        """Yields what speaks against each trait with a number of endings."""
        for trait, endings in self._endings.items():
            if len(endings) >= min_endings:
                found = self.suspicion(trait)
                if found is not None:
                    yield found

    def report(
        self, now_ms: int, quarantined: Collection[int]
    ) -> EvidenceReport:
        """Returns the evidence for the other daemons.

        Args:
            now_ms: The monotonic time.
            quarantined: Traits that are always reported.
        """
        candidates = [
            trait
            for trait in self._endings
            if trait in quarantined or self._is_current(trait, now_ms)
        ]
        strongest = sorted(
            candidates,
            key=lambda trait: self._strength(trait, quarantined),
            reverse=True,
        )
        traits = strongest[:_MAX_STRONGEST_TRAITS]
        # The others take turns, so that those with few endings are reported.
        others = sorted(strongest[_MAX_STRONGEST_TRAITS:], key=self._turn)
        traits += others[: _MAX_REPORTED_TRAITS - len(traits)]
        for trait in traits:
            self._reported[trait] = (now_ms, len(self._endings[trait]))
        upstreams = self._reported_upstreams(traits, quarantined)
        return EvidenceReport(
            ended=tuple((k, now_ms - self._ended_ms[k]) for k in upstreams),
            traits=tuple(self._masks(trait, upstreams) for trait in traits),
            sound=tuple(
                (trait, now_ms - sound_ms)
                for trait in traits
                if (sound_ms := self._sound_ms.get(trait)) is not None
            )[:_MAX_REPORTED_SOUND_TRAITS],
            newest_sound_age_ms=None
            if self._newest_sound_ms is None
            else now_ms - self._newest_sound_ms,
        )

    def _is_current(self, trait: int, now_ms: int) -> bool:
        """Whether other daemons may not know what is known of a trait."""
        if is_whole_request(trait) and self.suspicion(trait) is None:
            return False
        newest_ms = _newest(
            self._newest_ms(self._endings[trait]), self._sound_ms.get(trait)
        )
        return newest_ms is not None and now_ms - newest_ms < _REPORTED_MS

    def _strength(
        self, trait: int, quarantined: Collection[int]
    ) -> tuple[bool, int, bool, int, int]:
        endings = self._endings[trait]
        return (
            trait in quarantined,
            len(endings),
            trait in self._own_traits,
            self._newest_ms(endings),
            trait,
        )

    def _turn(self, trait: int) -> tuple[int, bool, int]:
        """Sorts traits by when they are to be reported.

        Those with unreported endings come first, then the least recently
        reported ones.
        """
        endings = self._endings[trait]
        reported_ms, reported_endings = self._reported.get(trait, (0, 0))
        if reported_endings != len(endings):
            reported_ms = 0
        own = trait in self._own_traits
        return reported_ms, not own, -self._newest_ms(endings)

    def _reported_upstreams(
        self, traits: list[int], quarantined: Collection[int]
    ) -> list[int]:
        """Returns the upstreams whose endings are reported.

        Those that suffice for a quarantine come first, then the newest one of
        each trait, and then the newest ones of all.
        """
        newest = {
            trait: self._newest_first(self._endings[trait]) for trait in traits
        }
        decisive = [
            upstream
            for trait in traits
            if trait in quarantined
            for upstream in newest[trait][:_DECISIVE_ENDINGS]
        ]
        first = [newest[trait][0] for trait in traits]
        named = {
            upstream for endings in newest.values() for upstream in endings
        }
        ordered = [*decisive, *first, *self._newest_first(named)]
        return list(dict.fromkeys(ordered))[:_MAX_REPORTED_ENDINGS]

    def merge(self, report: EvidenceReport, now_ms: int) -> None:
        """Adds the evidence that another daemon has reported.

        Args:
            report: Its evidence.
            now_ms: The monotonic time when it arrived.
        """
        for trait, mask, responding in report.traits:
            for bit, (upstream, age_ms) in enumerate(report.ended):
                if mask >> bit & 1 and age_ms < _RETENTION_MS:
                    self._add(
                        trait,
                        upstream,
                        now_ms - age_ms,
                        responding=bool(responding >> bit & 1),
                    )
        for trait, age_ms in report.sound:
            sound_ms = now_ms - age_ms
            known_ms = self._peers_sound_ms.get(trait)
            if known_ms is None or sound_ms > known_ms:
                self._peers_sound_ms.add(trait, sound_ms)
                self.revision += 1
        if report.newest_sound_age_ms is not None:
            self._peers_newest_sound_ms = _newest(
                self._peers_newest_sound_ms,
                now_ms - report.newest_sound_age_ms,
            )

    def expire(self, now_ms: int, quarantined: Collection[int]) -> None:
        """Removes old endings.

        Args:
            now_ms: The monotonic time.
            quarantined: Upstreams whose endings led to a quarantine; these are
                removed last if there are too many.
        """
        for upstream, ended_ms in list(self._ended_ms.items()):
            if now_ms - ended_ms >= _RETENTION_MS:
                self._remove_ending(upstream)
        while len(self._ended_ms) > _MAX_ENDINGS:
            others = [k for k in self._ended_ms if k not in quarantined]
            self._remove_ending((others or list(self._ended_ms))[0])

    def _add(
        self, trait: int, upstream: int, ended_ms: int, *, responding: bool
    ) -> None:
        # The first estimate of the time is kept: each daemon that passes an
        # ending on adds the time that its datagram took.
        self._ended_ms.setdefault(upstream, ended_ms)
        if trait not in self._endings and len(self._endings) >= _MAX_TRAITS:
            weakest = min(self._endings, key=lambda k: len(self._endings[k]))
            self._remove_trait(weakest)
        endings = self._endings.setdefault(trait, {})
        known = endings.get(upstream)
        if known is None or (responding and not known):
            endings[upstream] = responding
            self.revision += 1
        if responding:
            self._responding.add(upstream)

    def _remove_ending(self, upstream: int) -> None:
        del self._ended_ms[upstream]
        self._responding.discard(upstream)
        self.revision += 1
        for trait, endings in list(self._endings.items()):
            endings.pop(upstream, None)
            if not endings:
                self._remove_trait(trait)

    def _remove_trait(self, trait: int) -> None:
        del self._endings[trait]
        self._own_traits.discard(trait)
        self._reported.pop(trait, None)

    def _newest_first(self, upstreams: Iterable[int]) -> list[int]:
        return sorted(upstreams, key=lambda k: -self._ended_ms[k])

    def _newest_ms(self, endings: Iterable[int]) -> int:
        return max(self._ended_ms[upstream] for upstream in endings)

    def _masks(self, trait: int, upstreams: list[int]) -> tuple[int, int, int]:
        endings = self._endings[trait]
        mask = sum(1 << n for n, k in enumerate(upstreams) if k in endings)
        responding = sum(
            1 << n for n, k in enumerate(upstreams) if endings.get(k)
        )
        return trait, mask, responding

    def _last_sound_ms(self, trait: int) -> int | None:
        return _newest(
            self._sound_ms.get(trait), self._peers_sound_ms.get(trait)
        )


class _SoundTimes:
    """Monotonic time of the last response that went well, by trait.

    Most requests are seen once, so that they must not displace the parts of
    prompts.
    """

    def __init__(self) -> None:
        # In the order of the last update.
        self._parts_ms: dict[int, int] = {}
        self._requests_ms: dict[int, int] = {}

    def get(self, trait: int) -> int | None:
        return self._times_ms(trait).get(trait)

    def add(self, trait: int, time_ms: int) -> None:
        times_ms = self._times_ms(trait)
        limit = _MAX_SOUND_PARTS
        if is_whole_request(trait):
            limit = _MAX_SOUND_REQUESTS
        times_ms.pop(trait, None)
        times_ms[trait] = time_ms
        while len(times_ms) > limit:
            del times_ms[next(iter(times_ms))]

    def _times_ms(self, trait: int) -> dict[int, int]:
        if is_whole_request(trait):
            return self._requests_ms
        return self._parts_ms


def _newest(*times_ms: int | None) -> int | None:
    return max((t for t in times_ms if t is not None), default=None)
