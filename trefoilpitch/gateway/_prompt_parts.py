"""Evidence on parts of prompts under which upstreams end.

Load pattern: a defect of the model runtime ends every upstream that begins to
respond to a prompt with a certain part. Each request with that part is new, so
that only the part connects them, and all other streams of the upstream are cut
with it, so that sound parts are cut as well.
"""

from __future__ import annotations

import dataclasses
import zlib
from collections.abc import Collection, Iterable, Iterator, Mapping

import msgspec

from trefoilpitch.fleet import UpstreamEntry
from trefoilpitch.gateway._messages import CallerRequest, PrefixPart

# Bounds of the memory: parts with endings, endings, and sound parts.
_MAX_PARTS = 1_024
_MAX_ENDINGS = 256
_MAX_SOUND_PARTS = 8_192
# How long an ending counts: longer than several quarantines, so that a failed
# probe renews them.
_RETENTION_MS = 3_600_000
# Bounds of a report; together with the rest of a heartbeat it must fit into one
# datagram. Parts that are not in quarantine are reported for a while only after
# an ending or a response that went well.
_MAX_REPORTED_PARTS = 24
_MAX_REPORTED_ENDINGS = 24
_DECISIVE_ENDINGS = 6
_MAX_REPORTED_SOUND_PARTS = 16
_REPORTED_MS = 60_000


@dataclasses.dataclass(slots=True, kw_only=True)
class AttemptProgress:
    """How far an upstream has come with a request."""

    # Whether the head of a response has arrived.
    responding: bool = False
    # Monotonic time of the first event of a stream; None if there is none.
    first_event_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PartKnowledge:
    """What is known of a part of a prompt."""

    # Number of upstreams that ended while they had a request with the part.
    endings: int
    # Number of those that had begun to respond to such a request.
    responding: int
    # Time since the last response with the part that went well, in
    # milliseconds; None if none is known.
    sound_age_ms: int | None


class EvidenceReport(msgspec.Struct, frozen=True, array_like=True):
    """A daemon's view of the fleet's evidence, as its heartbeats carry it."""

    # Upstreams that ended, and the time since, in milliseconds.
    ended: tuple[tuple[int, int], ...] = ()
    # Parts with bit masks over `ended`: the upstreams that had a request with
    # the part, and those of them that had begun to respond to it.
    parts: tuple[tuple[int, int, int], ...] = ()
    # Parts, and the time since this daemon itself last forwarded a complete
    # response with them. Ages that others reported would grow younger each
    # time they are passed on.
    sound: tuple[tuple[int, int], ...] = ()
    # Time since it last forwarded a complete response to any prompt; None if
    # it has not.
    newest_sound_age_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Suspicion:
    """What speaks against a part."""

    part: int
    # Monotonic time of the endings since it was last known to be sound, by
    # upstream.
    ended_ms: dict[int, int]
    # Those of the upstreams that had begun to respond to the part.
    responding: frozenset[int]
    # Whether any response with it ever went well.
    was_sound: bool


def shared_parts(request: CallerRequest) -> tuple[PrefixPart, ...]:
    """Returns the parts of a prompt that other prompts may share."""
    return request.prefix[:-1]


def part_digest(part_id: str) -> int:
    """Returns a 32-bit digest of a part's id."""
    return zlib.crc32(part_id.encode())


def shared_digests(request: CallerRequest) -> list[int]:
    """Returns the digests of the shared parts of a request's prompt."""
    return [part_digest(part.part_id) for part in shared_parts(request)]


def run_digest(entry: UpstreamEntry) -> int:
    """Returns a 32-bit digest of one run of an upstream."""
    run = f"{entry.upstream_id}@{entry.started_wall_ms}"
    return zlib.crc32(run.encode())


class PromptEvidence:
    """Records under which parts upstreams ended and responses went well.

    Parts and upstreams are identified by their digests.
    """

    def __init__(self) -> None:
        # Increases with each change that may matter for a decision.
        self.revision = 0
        # Monotonic time when an upstream was seen to have ended.
        self._ended_ms: dict[int, int] = {}
        # By part: the upstreams that ended, and whether they had begun to
        # respond to a request with the part.
        self._endings: dict[int, dict[int, bool]] = {}
        # Parts with endings that this daemon has seen itself.
        self._own_parts: set[int] = set()
        # By part: monotonic time of the last response that went well, here
        # and at other daemons.
        self._sound_ms: dict[int, int] = {}
        self._peers_sound_ms: dict[int, int] = {}
        # Monotonic time of the last one to any prompt.
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

    def record_ending(
        self,
        upstream: int,
        parts: Iterable[int],
        now_ms: int,
        *,
        responding: bool,
    ) -> None:
        """Records that an upstream ended while it had a request.

        Args:
            upstream: The upstream.
            parts: Shared parts of the request's prompt.
            now_ms: The monotonic time.
            responding: Whether it had begun to respond to the request.
        """
        for part in parts:
            self._add(part, upstream, now_ms, responding=responding)
            self._own_parts.add(part)

    def record_sound(self, parts: Iterable[int], now_ms: int) -> bool:
        """Records that a response to a prompt with some parts went well.

        Returns:
            Whether that clears a part of a suspicion.
        """
        cleared = False
        for part in parts:
            cleared = cleared or self.suspicion(part) is not None
            _set_sound(self._sound_ms, part, now_ms)
            self._newest_sound_ms = now_ms
        if cleared:
            self.revision += 1
        return cleared

    def is_cleared(self, part: int) -> bool:
        """Returns whether a part is known to be sound and not suspected."""
        known = self._last_sound_ms(part) is not None
        return known and self.suspicion(part) is None

    def knowledge(self, part: int, now_ms: int) -> PartKnowledge:
        """Returns what is known of a part."""
        endings = self._endings.get(part, {})
        sound_ms = self._last_sound_ms(part)
        return PartKnowledge(
            endings=len(endings),
            responding=sum(endings.values()),
            sound_age_ms=None if sound_ms is None else now_ms - sound_ms,
        )

    def suspicion(self, part: int) -> Suspicion | None:
        """Returns what speaks against a part; None if nothing does."""
        sound_ms = self._last_sound_ms(part)
        endings = self._endings.get(part, {})
        ended_ms = {
            upstream: self._ended_ms[upstream]
            for upstream in endings
            if sound_ms is None or self._ended_ms[upstream] > sound_ms
        }
        if not ended_ms:
            return None
        return Suspicion(
            part=part,
            ended_ms=ended_ms,
            responding=frozenset(k for k in ended_ms if endings[k]),
            was_sound=sound_ms is not None,
        )

    def suspicions(self, min_endings: int) -> Iterator[Suspicion]:
        """Yields what speaks against each part with a number of endings."""
        for part, endings in self._endings.items():
            if len(endings) >= min_endings:
                found = self.suspicion(part)
                if found is not None:
                    yield found

    def report(
        self, now_ms: int, quarantined: Collection[int]
    ) -> EvidenceReport:
        """Returns the evidence for the other daemons.

        Args:
            now_ms: The monotonic time.
            quarantined: Parts that are always reported.
        """
        ranked = sorted(
            (
                part in quarantined,
                len(endings),
                part in self._own_parts,
                newest_ms,
                part,
            )
            for part, endings in self._endings.items()
            if now_ms
            - max(
                newest_ms := self._newest_ms(endings),
                self._sound_ms.get(part, newest_ms),
            )
            < _REPORTED_MS
            or part in quarantined
        )
        parts = [key[-1] for key in reversed(ranked[-_MAX_REPORTED_PARTS:])]
        # Those that suffice for a quarantine come first, then the newest ones.
        decisive = [
            upstream
            for part in parts
            if part in quarantined
            for upstream in self._newest_first(self._endings[part])[
                :_DECISIVE_ENDINGS
            ]
        ]
        named = {upstream for part in parts for upstream in self._endings[part]}
        upstreams = list(
            dict.fromkeys([*decisive, *self._newest_first(named)])
        )[:_MAX_REPORTED_ENDINGS]
        return EvidenceReport(
            ended=tuple((k, now_ms - self._ended_ms[k]) for k in upstreams),
            parts=tuple(self._masks(part, upstreams) for part in parts),
            sound=tuple(
                (part, now_ms - self._sound_ms[part])
                for part in parts
                if part in self._sound_ms
            )[:_MAX_REPORTED_SOUND_PARTS],
            newest_sound_age_ms=None
            if self._newest_sound_ms is None
            else now_ms - self._newest_sound_ms,
        )

    def merge(self, report: EvidenceReport, now_ms: int) -> None:
        """Adds the evidence that another daemon has reported.

        Args:
            report: Its evidence.
            now_ms: The monotonic time when it arrived.
        """
        for part, mask, responding in report.parts:
            for bit, (upstream, age_ms) in enumerate(report.ended):
                if mask >> bit & 1 and age_ms < _RETENTION_MS:
                    self._add(
                        part,
                        upstream,
                        now_ms - age_ms,
                        responding=bool(responding >> bit & 1),
                    )
        for part, age_ms in report.sound:
            sound_ms = now_ms - age_ms
            if sound_ms > self._peers_sound_ms.get(part, sound_ms - 1):
                _set_sound(self._peers_sound_ms, part, sound_ms)
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
        self, part: int, upstream: int, ended_ms: int, *, responding: bool
    ) -> None:
        # The first estimate of the time is kept: each daemon that passes an
        # ending on adds the time that its datagram took.
        self._ended_ms.setdefault(upstream, ended_ms)
        if part not in self._endings and len(self._endings) >= _MAX_PARTS:
            weakest = min(self._endings, key=lambda k: len(self._endings[k]))
            self._remove_part(weakest)
        endings = self._endings.setdefault(part, {})
        known = endings.get(upstream)
        if known is None or (responding and not known):
            endings[upstream] = responding
            self.revision += 1

    def _remove_ending(self, upstream: int) -> None:
        del self._ended_ms[upstream]
        self.revision += 1
        for part, endings in list(self._endings.items()):
            endings.pop(upstream, None)
            if not endings:
                self._remove_part(part)

    def _remove_part(self, part: int) -> None:
        del self._endings[part]
        self._own_parts.discard(part)

    def _newest_first(self, upstreams: Iterable[int]) -> list[int]:
        return sorted(upstreams, key=lambda k: -self._ended_ms[k])

    def _newest_ms(self, endings: Iterable[int]) -> int:
        return max(self._ended_ms[upstream] for upstream in endings)

    def _masks(self, part: int, upstreams: list[int]) -> tuple[int, int, int]:
        endings = self._endings[part]
        mask = sum(1 << n for n, k in enumerate(upstreams) if k in endings)
        responding = sum(
            1 << n for n, k in enumerate(upstreams) if endings.get(k)
        )
        return part, mask, responding

    def _last_sound_ms(self, part: int) -> int | None:
        return _newest(self._sound_ms.get(part), self._peers_sound_ms.get(part))


def _newest(*times_ms: int | None) -> int | None:
    return max((t for t in times_ms if t is not None), default=None)


def _set_sound(times_ms: dict[int, int], part: int, time_ms: int) -> None:
    # Keeps the dictionary in the order of the last update.
    times_ms.pop(part, None)
    times_ms[part] = time_ms
    while len(times_ms) > _MAX_SOUND_PARTS:
        del times_ms[next(iter(times_ms))]
