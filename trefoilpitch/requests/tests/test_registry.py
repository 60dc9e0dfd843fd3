from collections.abc import Callable

import pytest

from trefoilpitch.requests import (
    KEY_VALIDITY_MS,
    KeyedRequestId,
    RequestRegistry,
    Verdict,
)

_SLOT = KeyedRequestId("suva-parish", "key-1")
_OTHER = KeyedRequestId("suva-parish", "key-2")
_Registry = RequestRegistry[bytes]


def _admit(
    registry: _Registry,
    keyed_id: KeyedRequestId = _SLOT,
    *,
    content: bytes = b"loan",
    issued_ms: int = 0,
    now_ms: int = 0,
) -> Verdict:
    return registry.admit(keyed_id, content, issued_ms, now_ms).verdict


@pytest.mark.parametrize(
    ("finish", "expected"),
    [
        (lambda registry: None, Verdict.JOIN),
        (lambda registry: registry.finish_not_run(_SLOT), Verdict.RUN),
        (lambda registry: registry.finish_unknown(_SLOT), Verdict.UNKNOWN),
        (
            lambda registry: registry.finish_ran(_SLOT, b"done", 4),
            Verdict.REPLAY,
        ),
        (
            lambda registry: registry.finish_ran(_SLOT, None, 0),
            Verdict.ANSWER_DROPPED,
        ),
    ],
)
def test_a_repeat_runs_only_after_a_proven_refusal(
    finish: Callable[[_Registry], None], expected: Verdict
) -> None:
    registry = _Registry()
    assert _admit(registry) is Verdict.RUN
    finish(registry)
    assert _admit(registry) is expected


def test_a_key_never_serves_other_content() -> None:
    registry = _Registry()
    _admit(registry)
    assert _admit(registry, content=b"other loan") is Verdict.MISMATCH


def test_a_forgotten_key_is_expired_and_does_not_run_again() -> None:
    registry = _Registry()
    _admit(registry)
    registry.finish_ran(_SLOT, b"done", 4)
    late_ms = KEY_VALIDITY_MS
    assert _admit(registry, now_ms=late_ms) is Verdict.EXPIRED
    assert (len(registry), registry.response_bytes) == (0, 0)


def test_a_key_from_the_future_is_not_accepted() -> None:
    assert _admit(_Registry(), issued_ms=1, now_ms=0) is Verdict.EXPIRED


def test_dropping_answers_keeps_the_fact_that_they_ran() -> None:
    registry = _Registry(max_response_bytes=5)
    _admit(registry)
    registry.finish_ran(_SLOT, b"1234", 4)
    _admit(registry, _OTHER)
    registry.finish_ran(_OTHER, b"5678", 4)
    assert _admit(registry) is Verdict.ANSWER_DROPPED
    assert _admit(registry, _OTHER) is Verdict.REPLAY


def test_a_running_request_is_remembered_past_its_validity() -> None:
    registry = _Registry()
    _admit(registry)
    assert _admit(registry, now_ms=KEY_VALIDITY_MS + 1) is Verdict.JOIN
