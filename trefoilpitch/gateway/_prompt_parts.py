"""Evidence on parts of prompts under which upstreams end.

Load pattern: a defect of the model runtime ends every upstream that begins to
respond to a prompt with a certain part. Each request with that part is new, so
that only the part connects them, and all other streams of the upstream are cut
with it, so that sound parts are cut as well.
"""

from __future__ import annotations

import dataclasses
import zlib
from collections.abc import Iterable

from trefoilpitch.fleet import UpstreamEntry
from trefoilpitch.gateway._messages import CallerRequest, PrefixPart

# Bounds of the memory: parts with endings, endings, and sound parts.
_MAX_PARTS = 1_024
_MAX_ENDINGS = 256
_MAX_SOUND_PARTS = 8_192


@dataclasses.dataclass(slots=True, kw_only=True)
class AttemptProgress:
    """How far an attempt at an upstream has come."""

    # Whether the request has been sent.
    sent: bool = False
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


def shared_parts(request: CallerRequest) -> tuple[PrefixPart, ...]:
    """Returns the parts of a prompt that other prompts may share."""
    return request.prefix[:-1]


def part_digest(part_id: str) -> int:
    """Returns a 32-bit digest of a part's id."""
    return zlib.crc32(part_id.encode())


def run_digest(entry: UpstreamEntry) -> int:
    """Returns a 32-bit digest of one run of an upstream."""
    run = f"{entry.upstream_id}@{entry.started_wall_ms}"
    return zlib.crc32(run.encode())


class PromptEvidence:
    """Records under which parts upstreams ended and responses went well.

    Parts and upstreams are identified by their digests.
    """

    def __init__(self) -> None:
        # Monotonic time when an upstream was seen to have ended.
        self._ended_ms: dict[int, int] = {}
        # By part: the upstreams that ended, and whether they had begun to
        # respond to a request with the part.
        self._endings: dict[int, dict[int, bool]] = {}
        # By part: monotonic time of the last response that went well.
        self._sound_ms: dict[int, int] = {}

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
        if upstream not in self._ended_ms:
            while len(self._ended_ms) >= _MAX_ENDINGS:
                self._forget_ending(next(iter(self._ended_ms)))
            self._ended_ms[upstream] = now_ms
        for part in parts:
            if part not in self._endings:
                while len(self._endings) >= _MAX_PARTS:
                    del self._endings[next(iter(self._endings))]
            endings = self._endings.setdefault(part, {})
            endings[upstream] = responding or endings.get(upstream, False)

    def record_sound(self, parts: Iterable[int], now_ms: int) -> None:
        """Records that a response to a prompt with some parts went well."""
        for part in parts:
            # Keeps the dictionary in the order of the last use.
            self._sound_ms.pop(part, None)
            self._sound_ms[part] = now_ms
        while len(self._sound_ms) > _MAX_SOUND_PARTS:
            del self._sound_ms[next(iter(self._sound_ms))]

    def knowledge(self, part: int, now_ms: int) -> PartKnowledge:
        """Returns what is known of a part."""
        endings = self._endings.get(part, {})
        sound_ms = self._sound_ms.get(part)
        return PartKnowledge(
            endings=len(endings),
            responding=sum(endings.values()),
            sound_age_ms=None if sound_ms is None else now_ms - sound_ms,
        )

    def _forget_ending(self, upstream: int) -> None:
        del self._ended_ms[upstream]
        for part, endings in list(self._endings.items()):
            endings.pop(upstream, None)
            if not endings:
                del self._endings[part]
