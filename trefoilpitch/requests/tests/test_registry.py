from collections.abc import Callable

import pytest

from trefoilpitch.requests import (
    KEY_VALIDITY_MS,
    KeyedRequestId,
    RequestRegistry,
    Verdict,
)

_KEYED_ID = KeyedRequestId("suva-parish", "key-1")
_OTHER_ID = KeyedRequestId("suva-parish", "key-2")
_Registry = RequestRegistry[bytes]


def _admit(
    registry: _Registry,
    keyed_id: KeyedRequestId = _KEYED_ID,
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
        (lambda registry: registry.finish_not_run(_KEYED_ID), Verdict.RUN),
        (lambda registry: registry.finish_unknown(_KEYED_ID), Verdict.UNKNOWN),
        (
            lambda registry: registry.finish_ran(_KEYED_ID, b"done", 4),
            Verdict.REPLAY,
        ),
        (
            lambda registry: registry.finish_ran(_KEYED_ID, None, 0),
            Verdict.RESPONSE_DROPPED,
        ),
    ],
)
def test_repeat_runs_only_if_the_request_did_not_run(
    finish: Callable[[_Registry], None], expected: Verdict
) -> None:
    registry = _Registry()
    assert _admit(registry) is Verdict.RUN
    finish(registry)
    assert _admit(registry) is expected


def test_key_is_refused_for_different_content() -> None:
    registry = _Registry()
    _admit(registry)
    assert _admit(registry, content=b"other loan") is Verdict.MISMATCH


def test_evicted_key_is_expired_and_does_not_run_again() -> None:
    registry = _Registry()
    _admit(registry)
    registry.finish_ran(_KEYED_ID, b"done", 4)
    expired_ms = KEY_VALIDITY_MS
    assert _admit(registry, now_ms=expired_ms) is Verdict.EXPIRED
    assert (len(registry), registry.response_bytes) == (0, 0)


def test_key_issued_in_the_future_is_refused() -> None:
    assert _admit(_Registry(), issued_ms=1, now_ms=0) is Verdict.EXPIRED


def test_evicting_a_response_keeps_the_entry() -> None:
    registry = _Registry(max_response_bytes=5)
    _admit(registry)
    registry.finish_ran(_KEYED_ID, b"1234", 4)
    _admit(registry, _OTHER_ID)
    registry.finish_ran(_OTHER_ID, b"5678", 4)
    assert _admit(registry) is Verdict.RESPONSE_DROPPED
    assert _admit(registry, _OTHER_ID) is Verdict.REPLAY


def test_entry_of_a_running_request_outlives_its_key() -> None:
    registry = _Registry()
    _admit(registry)
    assert _admit(registry, now_ms=KEY_VALIDITY_MS + 1) is Verdict.JOIN
