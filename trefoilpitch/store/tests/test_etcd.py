"""Malformed responses and transport failures, served from raw sockets."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable, Iterator

import pytest
from returns.pipeline import is_successful

from trefoilpitch.store import (
    ABSENT,
    EtcdStore,
    EventKind,
    LeaseNotFoundError,
    NotAppliedError,
    OutcomeUnknownError,
    StoreError,
    UnavailableError,
    Watch,
    etcd_store,
)

_SHORT_MS = 50
_WAIT_MS = 5_000


@contextlib.contextmanager
def _scripted_server(
    respond: Callable[[socket.socket], None], idle_timeout_ms: int = _SHORT_MS
) -> Iterator[EtcdStore]:
    """Serves one connection by a function that writes raw bytes."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        connection, _ = listener.accept()
        with connection:
            connection.recv(65_536)
            respond(connection)

    server = threading.Thread(target=serve)
    server.start()
    host, port = listener.getsockname()
    with etcd_store(
        host, port, read_timeout_ms=_SHORT_MS, idle_timeout_ms=idle_timeout_ms
    ) as store:
        yield store
    server.join()
    listener.close()


def _http(status: str, body: bytes) -> bytes:
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def _wait_for_close(connection: socket.socket) -> None:
    while connection.recv(1):
        pass


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (b"", OutcomeUnknownError),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{",
            OutcomeUnknownError,
        ),
        (_http("200 OK", b"<html>"), OutcomeUnknownError),
        (
            _http("503 Unavailable", b'{"code":14,"message":"timed out"}'),
            OutcomeUnknownError,
        ),
        (_http("429 Too Many", b'{"code":8}'), NotAppliedError),
        (_http("404 Not Found", b'{"code":5}'), LeaseNotFoundError),
    ],
)
def test_response_decides_whether_the_outcome_is_known(
    response: bytes, expected: type[StoreError]
) -> None:
    with _scripted_server(
        lambda connection: connection.sendall(response)
    ) as store:
        error = store.put_if("a", b"", ABSENT).failure()
    assert type(error) is expected


def test_outcome_is_unknown_after_a_read_timeout() -> None:
    with _scripted_server(_wait_for_close) as store:
        error = store.put_if("a", b"", ABSENT).failure()
    assert type(error) is OutcomeUnknownError


def test_refused_connection_is_unavailable() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
    with etcd_store(host, port) as store:
        error = store.put_if("a", b"", ABSENT).failure()
    assert type(error) is UnavailableError


def _stream_slowly(connection: socket.socket) -> None:
    """Sends a message that is split over chunks, then nothing."""
    parts = [
        b'{"result":{"created":true}}\n{"result":{"header":{"revision":"9"},',
        b'"events":[{"type":"DELETE","kv":{"key":"YQ==","mod_revision":"7"}}',
        b"]}}\n",
    ]
    connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for part in parts:
        connection.sendall(b"%x\r\n%s\r\n" % (len(part), part))
    _wait_for_close(connection)


def _events_until_end(watch: Watch) -> Iterator[tuple[EventKind, int, int]]:
    while True:
        result = watch.receive(_WAIT_MS)
        if not is_successful(result):
            assert type(result.failure()) is OutcomeUnknownError
            return
        batch = result.unwrap()
        for event in batch.events:
            yield event.kind, event.revision, batch.revision


def test_idle_watch_ends_after_complete_messages() -> None:
    """The revision of a batch is that of its changes, not of the header."""
    with (
        _scripted_server(_stream_slowly) as store,
        store.watch("a", 1).unwrap() as watch,
    ):
        assert list(_events_until_end(watch)) == [(EventKind.DELETE, 7, 7)]


def test_watch_without_headers_ends_at_the_read_timeout() -> None:
    with _scripted_server(_wait_for_close, idle_timeout_ms=60_000) as store:
        error = store.watch("a", 1).failure()
    assert type(error) is OutcomeUnknownError


def _send_after_pause(connection: socket.socket) -> None:
    """Sends a message after a pause longer than the read timeout."""
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    connection.sendall(head)
    connection.settimeout(3 * _SHORT_MS / 1_000)
    with contextlib.suppress(TimeoutError):
        connection.recv(1)
    message = b'{"result":{"header":{"revision":"5"}}}\n'
    connection.sendall(b"%x\r\n%s\r\n" % (len(message), message))


def test_watch_may_be_idle_beyond_the_read_timeout() -> None:
    with (
        _scripted_server(_send_after_pause, idle_timeout_ms=60_000) as store,
        store.watch("a", 1).unwrap() as watch,
    ):
        batch = watch.receive(_WAIT_MS).unwrap()
    assert (batch.events, batch.revision) == ((), 5)


def test_call_without_a_free_connection_is_unavailable() -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    host, port = listener.getsockname()
    store = etcd_store(
        host,
        port,
        connect_timeout_ms=_SHORT_MS,
        read_timeout_ms=_WAIT_MS,
        pool_size=1,
    )
    first = threading.Thread(target=store.get, args=("a",))
    with listener, store:
        first.start()
        connection, _ = listener.accept()
        with connection:
            error = store.get("b").failure()
        assert type(error) is UnavailableError
        first.join()
