from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from tests.endtoend.fleet import DOMAINS, Fleet, post_json
from tools.processes import wait_until

_THREADS_PER_DAEMON = 12
_TOKEN_MS = 20
_WARM_UP_TIMEOUT_S = 60.0


@contextmanager
def _background_load(fleet: Fleet) -> Iterator[list[int]]:
    """Sends requests to all daemons in a loop; yields the statuses."""
    statuses: list[int] = []
    is_stopped = threading.Event()

    def send_requests(letter: str, number: int) -> None:
        while not is_stopped.is_set():
            statuses.append(fleet.chat(letter, f"tape {number}").status)

    threads = [
        threading.Thread(target=send_requests, args=(letter, number))
        for letter in DOMAINS
        for number in range(_THREADS_PER_DAEMON)
    ]
    for thread in threads:
        thread.start()
    try:
        yield statuses
    finally:
        is_stopped.set()
        for thread in threads:
            thread.join()


def _crash_counts(fleet: Fleet) -> dict[str, int]:
    """Returns how often each engine crashed since its process started."""
    return {
        letter: int(fleet.engine_counts(letter)["counts"].get("falls", 0))
        for letter in DOMAINS
    }


def _is_warm(fleet: Fleet, letter: str) -> bool:
    return bool(fleet.engine_load(letter)["warm"])


def test_engine_restarted_cold_under_load_does_not_crash(
    fleet: Fleet,
) -> None:
    fleet.set_engines(token_ms=_TOKEN_MS)
    crashes = _crash_counts(fleet)
    with _background_load(fleet) as statuses:
        wait_until(lambda: len(statuses) > 100, "response to 100 requests")
        before = len(fleet.runs(("a",)))
        post_json(fleet.engine_address("a"), "/standin/restart", {})
        assert not _is_warm(fleet, "a")
        wait_until(
            lambda: _is_warm(fleet, "a"),
            "warm-up of engine-a",
            _WARM_UP_TIMEOUT_S,
        )
        wait_until(
            lambda: len(fleet.runs(("a",))) > before + 50,
            "more runs at engine-a",
        )
    assert _crash_counts(fleet) == crashes
    assert set(statuses) <= {200, 502, 503, 504}
    assert statuses.count(200) > 100


def test_replaced_engine_process_under_load_does_not_crash(
    fleet: Fleet,
) -> None:
    fleet.set_engines(token_ms=_TOKEN_MS)
    crashes = _crash_counts(fleet)
    with _background_load(fleet) as statuses:
        wait_until(lambda: len(statuses) > 100, "response to 100 requests")
        fleet.processes.kill("engine-b")
        fleet.start_engine("b")
        wait_until(
            lambda: _is_warm(fleet, "b"),
            "warm-up of engine-b",
            _WARM_UP_TIMEOUT_S,
        )
    crashes["b"] = 0
    assert _crash_counts(fleet) == crashes
    assert statuses.count(200) > 100
