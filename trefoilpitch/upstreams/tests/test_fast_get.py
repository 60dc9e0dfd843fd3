import socket

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from trefoilpitch.upstreams import (
    ConnectError,
    DeadlineExceededError,
    IncompleteReplyError,
    ReplyTooLargeError,
    UpstreamError,
)
from trefoilpitch.upstreams._fast_get import (
    FastGetClient,
    _parse_head,
    _UnsupportedResponseError,
)
from trefoilpitch.upstreams.tests.harness import CLOCK, DEADLINE_MS, raw_client
from trefoilpitch.upstreams.tests.raw_server import raw_server

_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
_SIMPLE = _HEAD + b"\r\nok"
_REPORT = msgspec.json.encode(
    {
        "incarnation": "a",
        "running": 1,
        "waiting": 0,
        "capacity": 8,
        "warm": True,
        "reported_ms": 5,
    }
)


def _client(address: str) -> FastGetClient:
    return FastGetClient(
        upstream="e1",
        address=address,
        path="/v1/load",
        clock=CLOCK,
        connect_ms=5_000,
        max_bytes=100,
    )


def _fetch(client: FastGetClient, within_ms: int = DEADLINE_MS) -> object:
    fetched = client.fetch(CLOCK.now_ms() + within_ms)
    if fetched is None:
        return None
    if isinstance(fetched, Failure):
        return type(fetched.failure())
    return fetched.unwrap().body


def test_a_connection_is_reused_until_the_upstream_closes_it() -> None:
    closing = _HEAD + b"Connection: close\r\n\r\nok"
    with raw_server(
        [_SIMPLE, _SIMPLE], [_SIMPLE, closing], [_SIMPLE]
    ) as server:
        client = _client(server.address)
        accepted = []
        for _ in range(5):
            assert _fetch(client) == b"ok"
            accepted.append(server.accepted)
        client.close()
    assert accepted == [1, 1, 2, 2, 3]


def test_excess_bytes_are_not_read_as_the_next_response() -> None:
    near, far = socket.socketpair()
    with far, raw_server([_SIMPLE]) as server:
        client = _client(server.address)
        assert client._put_idle(near)
        far.sendall(_HEAD + b"\r\nno")
        assert _fetch(client) == b"ok"
        client.close()


@pytest.mark.parametrize(
    ("response", "outcome"),
    [
        (_HEAD + b"\r\no", IncompleteReplyError),
        (_HEAD[:-9], IncompleteReplyError),
        (b"", IncompleteReplyError),
        (_SIMPLE + b"!", IncompleteReplyError),
        (_SIMPLE.replace(b": 2", b": 101"), ReplyTooLargeError),
        (_SIMPLE.replace(b": 2", b": +2"), None),
        (_SIMPLE.replace(b"1.1", b"1.0"), None),
        (_SIMPLE.replace(b"\r\n", b"\n", 1), None),
        (_HEAD + b"Content-Length: 3\r\n\r\nok", None),
        (_HEAD + b"Transfer-Encoding: chunked\r\n\r\nok", None),
        (_HEAD + b" folded: line\r\n\r\nok", None),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + _SIMPLE, None),
        (b"x" * (1 << 17), None),
    ],
)
def test_only_complete_simple_responses_are_accepted(
    response: bytes, outcome: type[UpstreamError] | None
) -> None:
    with raw_server([response]) as server:
        assert _fetch(_client(server.address)) is outcome


def test_timeouts_and_refused_connections_are_distinguished() -> None:
    with raw_server([b"HTTP/1.1 "], hold=True) as server:
        client = _client(server.address)
        assert _fetch(client, within_ms=50) is DeadlineExceededError
        assert _fetch(client, within_ms=0) is DeadlineExceededError
    assert _fetch(client) is ConnectError


def test_unsupported_responses_fall_back_to_the_general_client() -> None:
    chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (len(_REPORT), _REPORT)
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk
    with (
        raw_server([chunked], [chunked, chunked]) as server,
        raw_client(server.address) as client,
    ):
        for _ in range(2):
            deadline_ms = CLOCK.now_ms() + DEADLINE_MS
            report = client.load_report(deadline_ms=deadline_ms).unwrap()
            assert report.running == 1
        # Only the first fetch tried the fast client.
        assert server.accepted == 2


@given(st.binary())
@settings(derandomize=True, deadline=None)
def test_any_bytes_parse_as_a_head_or_are_unsupported(data: bytes) -> None:
    for head in (data, b"HTTP/1.1 200 OK\r\n" + data):
        try:
            assert _parse_head(head).length >= 0
        except _UnsupportedResponseError:
            continue
