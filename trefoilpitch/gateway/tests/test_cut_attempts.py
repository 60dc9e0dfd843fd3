"""What the end of a response shows of its upstream."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.fleet import UpstreamEntry, UpstreamState
from trefoilpitch.gateway import (
    CallerRequest,
    HttpRequest,
    PrefixPart,
    ResponseHead,
)
from trefoilpitch.gateway._crash_evidence import (
    AttemptProgress,
    CrashEvidence,
    TraitKnowledge,
)
from trefoilpitch.gateway._cut_attempts import CutAttempts
from trefoilpitch.gateway._request_traits import (
    RequestTraits,
    part_digest,
    request_traits,
)
from trefoilpitch.metrics import Metrics
from trefoilpitch.retries import FailureKind

_HOST = "127.0.0.1"
_CHUNKED = ((b"transfer-encoding", b"chunked"),)
_ENDED = TraitKnowledge(endings=1, responding=1, sound_age_ms=None)
_SOUND = TraitKnowledge(endings=0, responding=0, sound_age_ms=0)
_UNKNOWN = TraitKnowledge(endings=0, responding=0, sound_age_ms=None)


@contextlib.contextmanager
def _upstream(*, running: bool) -> Iterator[UpstreamEntry]:
    """Yields an upstream that accepts or refuses connections."""
    with socket.socket() as listener:
        listener.bind((_HOST, 0))
        if running:
            listener.listen()
        yield UpstreamEntry(
            upstream_id="i-1",
            service="s",
            host=_HOST,
            port=listener.getsockname()[1],
            failure_domain="d",
            version="v1",
            slots=8,
            state=UpstreamState.READY,
            cold_left_ms=0,
            started_wall_ms=0,
        )


def _request() -> RequestTraits:
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
        prefix=(
            PrefixPart(part_id="p", tokens=1),
            PrefixPart(part_id="own", tokens=1),
        ),
    )
    return request_traits(request, None)


def _knowledge(
    *,
    running: bool,
    kind: FailureKind | None = None,
    headers: tuple[tuple[bytes, bytes], ...] = (),
    responded_ms: int = 0,
) -> TraitKnowledge:
    """Returns what is known of the part after the end of a response.

    Args:
        running: Whether the upstream goes on.
        kind: How the attempt failed; None if it was complete.
        headers: Headers of the response.
        responded_ms: Time from the first event to the end.
    """
    clock = ManualClock()
    evidence = CrashEvidence()

    async def scenario() -> None:
        cut_attempts = CutAttempts(evidence, clock, Metrics(), lambda: None)
        with _upstream(running=running) as entry:
            if kind is None:
                head = ResponseHead(status=200, headers=headers)
                cut_attempts.record_complete(entry, _request(), head)
            else:
                progress = AttemptProgress(
                    responding=True, first_event_ms=clock.now_ms()
                )
                clock.advance(responded_ms)
                cut_attempts.record_failure(entry, _request(), kind, progress)
            await asyncio.sleep(0.05)

    asyncio.run(scenario())
    return evidence.knowledge(part_digest("p"), clock.now_ms())


@pytest.mark.parametrize(
    ("kind", "running", "responded_ms", "expected"),
    [
        (FailureKind.RESPONSE_TRUNCATED, False, 0, _ENDED),
        (FailureKind.CONNECTION_LOST, False, 0, _ENDED),
        # Only the connection was cut.
        (FailureKind.RESPONSE_TRUNCATED, True, 0, _UNKNOWN),
        (FailureKind.RESPONSE_TIMEOUT, False, 0, _UNKNOWN),
        # The upstream had long begun to respond.
        (FailureKind.RESPONSE_TRUNCATED, False, 5_000, _SOUND),
    ],
)
def test_cut_response_counts_if_its_upstream_has_ended(
    kind: FailureKind,
    running: bool,
    responded_ms: int,
    expected: TraitKnowledge,
) -> None:
    known = _knowledge(running=running, kind=kind, responded_ms=responded_ms)
    assert known == expected


@pytest.mark.parametrize(
    ("headers", "running", "expected"),
    [
        (_CHUNKED, True, _SOUND),
        (_CHUNKED, False, _SOUND),
        ((), True, _SOUND),
        ((), False, _ENDED),
    ],
)
def test_response_without_length_may_end_with_its_upstream(
    headers: tuple[tuple[bytes, bytes], ...],
    running: bool,
    expected: TraitKnowledge,
) -> None:
    assert _knowledge(running=running, headers=headers) == expected
