from __future__ import annotations

import concurrent.futures
import contextlib
import itertools
import pathlib
import re
from collections.abc import Iterator

import pytest

from tests.endtoend.client import PendingRequest, connect
from tests.endtoend.fleet import DOMAINS, Fleet
from tests.endtoend.streams import Stream
from tools.processes import wait_until

_SLOW_CALLERS = 8
_CONCURRENT_REQUESTS = 100
_CONCURRENT_THREADS = 8
_EXTRA_WORDS = 600_000
_WORDS_PER_CHUNK = 1_000
_BYTES_PER_WORD = 32
# Half the size of all responses. A daemon cannot use less than the text that
# it has sent, which it keeps; the socket buffers let it send some megabytes of
# each response.
_MEMORY_LIMIT_KB = _SLOW_CALLERS * _EXTRA_WORDS * _BYTES_PER_WORD // 2_048
# Buffering has stopped after this many equal samples, 50 ms apart.
_STABLE_SAMPLES = 10
_IDLE_CONNECTIONS = 400
_STREAMS = 300
_PROMPTS = tuple(f"tape {number}" for number in range(20))
_HOLD_MS = 10_000


def _resident_kb(fleet: Fleet, name: str) -> int:
    status = pathlib.Path(f"/proc/{fleet.processes.pid(name)}/status")
    found = re.search(r"VmRSS:\s+(\d+) kB", status.read_text())
    assert found is not None
    return int(found[1])


def _stable_resident_kb(fleet: Fleet, name: str) -> int:
    """Waits until the resident memory is stable and returns it."""
    samples = [_resident_kb(fleet, name)]

    def is_stable() -> bool:
        samples.append(_resident_kb(fleet, name))
        latest = samples[-_STABLE_SAMPLES:]
        return len(latest) == _STABLE_SAMPLES and len(set(latest)) == 1

    wait_until(is_stable, f"stable resident memory of {name}")
    return samples[-1]


@contextlib.contextmanager
def _long_completions(fleet: Fleet) -> Iterator[None]:
    fleet.set_engines(
        extra_words=_EXTRA_WORDS, chunk_tokens=_WORDS_PER_CHUNK, token_ms=0.0
    )
    try:
        yield
    finally:
        fleet.set_engines(extra_words=0, chunk_tokens=1, token_ms=1.0)


def test_slow_callers_neither_block_others_nor_exhaust_memory(
    fleet: Fleet,
) -> None:
    before_kb = _resident_kb(fleet, "entry-a")
    with contextlib.ExitStack() as stack, _long_completions(fleet):
        slow_streams = [
            stack.enter_context(
                Stream(
                    fleet.caller_address("a"), f"tape {number}", task="index"
                )
            )
            for number in range(_SLOW_CALLERS)
        ]
        for stream in slow_streams:
            stream.read_chunks(1)
        with concurrent.futures.ThreadPoolExecutor(_CONCURRENT_THREADS) as pool:
            responses = list(
                pool.map(
                    lambda _: fleet.look_up("a"), range(_CONCURRENT_REQUESTS)
                )
            )
        growth_kb = _stable_resident_kb(fleet, "entry-a") - before_kb
        print(
            f"{_SLOW_CALLERS} slow callers: resident memory grew {growth_kb} KB"
        )
        assert {response.status for response in responses} == {200}
        assert all(not stream.is_complete for stream in slow_streams)
        assert growth_kb < _MEMORY_LIMIT_KB
        slow_streams[0].read_rest()
        assert slow_streams[0].is_complete
        assert len(slow_streams[0].text) > _EXTRA_WORDS * _BYTES_PER_WORD
    fleet.wait_until_idle()


def test_disconnect_during_stream_cancels_run_at_engine(
    fleet: Fleet,
) -> None:
    fleet.set_engines(token_ms=500, hold_ms=200)
    try:
        before = _cancelled_count(fleet)
        with Stream(fleet.caller_address("b"), "tape 31") as stream:
            stream.read_chunks(1)
            assert _cancelled_count(fleet) == before
        wait_until(
            lambda: _cancelled_count(fleet) == before + 1,
            "cancellation of a run",
        )
        fleet.wait_until_idle()
    finally:
        fleet.set_engines(token_ms=1.0, hold_ms=_HOLD_MS)
    (bill,) = fleet.wait_for_bills({stream.request_id})
    assert not bill["is_whole"]


def test_disconnect_before_unstreamed_response_cancels_run(
    fleet: Fleet,
) -> None:
    known_ids = {run["request_id"] for run in fleet.runs()}
    fleet.set_engines(token_ms=500, hold_ms=200)
    try:
        before = _cancelled_count(fleet)
        pending = PendingRequest(fleet.caller_address("b"), "tape 31")
        wait_until(lambda: len(fleet.runs()) > len(known_ids), "start of a run")
        assert _cancelled_count(fleet) == before
        pending.close()
        wait_until(
            lambda: _cancelled_count(fleet) == before + 1,
            "cancellation of a run",
        )
        fleet.wait_until_idle()
    finally:
        fleet.set_engines(token_ms=1.0, hold_ms=_HOLD_MS)
    (new_id,) = {run["request_id"] for run in fleet.runs()} - known_ids
    (bill,) = fleet.wait_for_bills({new_id.rpartition(":")[0]})
    assert not bill["is_whole"]
    assert fleet.dump("b")["in_flight"] == 0


def _cancelled_count(fleet: Fleet) -> int:
    # An engine cancels abandoned completions only when it is queried.
    for letter in DOMAINS:
        fleet.engine_load(letter)
    return sum(
        fleet.engine_counts(letter)["counts"].get("cancelled", 0)
        for letter in DOMAINS
    )


def test_idle_connections_do_not_block_requests(fleet: Fleet) -> None:
    with contextlib.ExitStack() as stack:
        idle_connections = [
            stack.enter_context(connect(fleet.caller_address("b")))
            for _ in range(_IDLE_CONNECTIONS)
        ]
        responses = [fleet.chat("b", "tape 41") for _ in range(20)]
        responses += [fleet.look_up("b") for _ in range(20)]
        assert {response.status for response in responses} == {200}
        # The idle connections are still open.
        for connection in idle_connections:
            connection.setblocking(False)
            with pytest.raises(BlockingIOError):
                connection.recv(1)


def test_hundreds_of_concurrent_streams_through_one_daemon_complete(
    fleet: Fleet,
) -> None:
    expected = {text: fleet.completion_text("b", text) for text in _PROMPTS}
    prompts = list(itertools.islice(itertools.cycle(expected), _STREAMS))
    fleet.set_engines(holds_answers=True)
    try:
        with contextlib.ExitStack() as stack:
            streams = [
                stack.enter_context(Stream(fleet.caller_address("a"), text))
                for text in prompts
            ]
            wait_until(
                lambda: fleet.dump("a")["in_flight"] == _STREAMS,
                "concurrency of all streams",
            )
            fleet.set_engines(holds_answers=False)
            for stream in streams:
                stream.read_rest()
    finally:
        fleet.set_engines(holds_answers=False)
    assert {stream.status for stream in streams} == {200}
    assert all(stream.is_complete for stream in streams)
    for stream, text in zip(streams, prompts, strict=True):
        assert stream.text == expected[text]
    request_ids = {stream.request_id for stream in streams}
    assert len(request_ids) == _STREAMS
    fleet.wait_for_bills(request_ids)
    runs = [run["request_id"].rpartition(":")[0] for run in fleet.runs()]
    assert sorted(run for run in runs if run in request_ids) == sorted(
        request_ids
    )
