from __future__ import annotations

import concurrent.futures
import contextlib
import itertools
import pathlib
import re
from collections.abc import Iterator

import pytest

from tests.endtoend.fleet import DOMAINS, Fleet
from tests.endtoend.requests import PendingRequest, connect
from tests.endtoend.streams import Stream
from tools.processes import wait_until

_SLOW_CALLERS = 8
_OTHER_REQUESTS = 100
_OTHER_THREADS = 8
_EXTRA_WORDS = 600_000
_WORDS_PER_CHUNK = 1_000
_BYTES_PER_WORD = 32
# Half of what the answers come to. The sockets' buffers take some megabytes
# of each answer, and a daemon keeps the text of what it has sent.
_MEMORY_LIMIT_KB = _SLOW_CALLERS * _EXTRA_WORDS * _BYTES_PER_WORD // 2_048
# Equal samples, 50 ms apart, that show that nothing more is buffered.
_SETTLED_SAMPLES = 10
_IDLE_CONNECTIONS = 400
_STREAMS = 300
_PROMPTS = tuple(f"tape {number}" for number in range(20))
_HOLD_MS = 10_000


def _resident_kb(fleet: Fleet, name: str) -> int:
    status = pathlib.Path(f"/proc/{fleet.processes.pid(name)}/status")
    found = re.search(r"VmRSS:\s+(\d+) kB", status.read_text())
    assert found is not None
    return int(found[1])


def _settled_kb(fleet: Fleet, name: str) -> int:
    """Returns the resident memory once it no longer changes."""
    samples = [_resident_kb(fleet, name)]

    def has_settled() -> bool:
        samples.append(_resident_kb(fleet, name))
        latest = samples[-_SETTLED_SAMPLES:]
        return len(latest) == _SETTLED_SAMPLES and len(set(latest)) == 1

    wait_until(has_settled, f"steady memory of {name}")
    return samples[-1]


@contextlib.contextmanager
def _long_answers(fleet: Fleet) -> Iterator[None]:
    fleet.set_engines(
        extra_words=_EXTRA_WORDS, chunk_tokens=_WORDS_PER_CHUNK, token_ms=0.0
    )
    try:
        yield
    finally:
        fleet.set_engines(extra_words=0, chunk_tokens=1, token_ms=1.0)


def test_slow_callers_disturb_no_other_and_hold_little_memory(
    fleet: Fleet,
) -> None:
    before_kb = _resident_kb(fleet, "entry-a")
    with contextlib.ExitStack() as stack, _long_answers(fleet):
        slow = [
            stack.enter_context(
                Stream(fleet.caller("a"), f"tape {number}", task="index")
            )
            for number in range(_SLOW_CALLERS)
        ]
        for stream in slow:
            stream.read_parts(1)
        with concurrent.futures.ThreadPoolExecutor(_OTHER_THREADS) as pool:
            replies = list(
                pool.map(lambda _: fleet.look_up("a"), range(_OTHER_REQUESTS))
            )
        grown_kb = _settled_kb(fleet, "entry-a") - before_kb
        print(f"{grown_kb} KB for {_SLOW_CALLERS} slow callers")
        assert {reply.status for reply in replies} == {200}
        assert all(not stream.is_whole for stream in slow)
        assert grown_kb < _MEMORY_LIMIT_KB
        slow[0].read_rest()
        assert slow[0].is_whole
        assert len(slow[0].text) > _EXTRA_WORDS * _BYTES_PER_WORD
    fleet.wait_until_idle()


def test_caller_that_disappears_ends_the_run_at_the_engine(
    fleet: Fleet,
) -> None:
    fleet.set_engines(token_ms=500, hold_ms=200)
    try:
        before = _cancelled(fleet)
        with Stream(fleet.caller("b"), "tape 31") as stream:
            stream.read_parts(1)
            assert _cancelled(fleet) == before
        wait_until(lambda: _cancelled(fleet) == before + 1, "a cancelled run")
        fleet.wait_until_idle()
    finally:
        fleet.set_engines(token_ms=1.0, hold_ms=_HOLD_MS)
    (bill,) = fleet.wait_for_bills({stream.request_id})
    assert not bill["is_whole"]


def test_caller_that_leaves_before_its_whole_answer_ends_the_run(
    fleet: Fleet,
) -> None:
    known = {run["request_id"] for run in fleet.runs()}
    fleet.set_engines(token_ms=500, hold_ms=200)
    try:
        before = _cancelled(fleet)
        pending = PendingRequest(fleet.caller("b"), "tape 31")
        wait_until(lambda: len(fleet.runs()) > len(known), "a run")
        assert _cancelled(fleet) == before
        pending.leave()
        wait_until(lambda: _cancelled(fleet) == before + 1, "a cancelled run")
        fleet.wait_until_idle()
    finally:
        fleet.set_engines(token_ms=1.0, hold_ms=_HOLD_MS)
    (begun,) = {run["request_id"] for run in fleet.runs()} - known
    (bill,) = fleet.wait_for_bills({begun.rpartition(":")[0]})
    assert not bill["is_whole"]
    assert fleet.dump("b")["in_flight"] == 0


def _cancelled(fleet: Fleet) -> int:
    # Asking for the load makes an engine look after its answers.
    for letter in DOMAINS:
        fleet.engine_load(letter)
    return sum(
        fleet.engine_counts(letter)["counts"].get("cancelled", 0)
        for letter in DOMAINS
    )


def test_idle_connections_keep_nobody_from_being_served(fleet: Fleet) -> None:
    with contextlib.ExitStack() as stack:
        idle = [
            stack.enter_context(connect(fleet.caller("b")))
            for _ in range(_IDLE_CONNECTIONS)
        ]
        replies = [fleet.chat("b", "tape 41") for _ in range(20)]
        replies += [fleet.look_up("b") for _ in range(20)]
        assert {reply.status for reply in replies} == {200}
        # They have not been closed to make room either.
        for connection in idle:
            connection.setblocking(False)
            with pytest.raises(BlockingIOError):
                connection.recv(1)


def test_hundreds_of_streams_through_one_daemon_arrive_whole(
    fleet: Fleet,
) -> None:
    expected = {text: fleet.answer("b", text) for text in _PROMPTS}
    prompts = list(itertools.islice(itertools.cycle(expected), _STREAMS))
    fleet.set_engines(holds_answers=True)
    try:
        with contextlib.ExitStack() as stack:
            streams = [
                stack.enter_context(Stream(fleet.caller("a"), text))
                for text in prompts
            ]
            wait_until(
                lambda: fleet.dump("a")["in_flight"] == _STREAMS,
                "all streams at once",
            )
            fleet.set_engines(holds_answers=False)
            for stream in streams:
                stream.read_rest()
    finally:
        fleet.set_engines(holds_answers=False)
    assert {stream.status for stream in streams} == {200}
    assert all(stream.is_whole for stream in streams)
    for stream, text in zip(streams, prompts, strict=True):
        assert stream.text == expected[text]
    requests = {stream.request_id for stream in streams}
    assert len(requests) == _STREAMS
    fleet.wait_for_bills(requests)
    runs = [run["request_id"].rpartition(":")[0] for run in fleet.runs()]
    assert sorted(run for run in runs if run in requests) == sorted(requests)
