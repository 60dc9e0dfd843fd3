"""A server that sends raw bytes, for responses no HTTP library would send."""

from __future__ import annotations

import contextlib
import re
import socket
import threading
from collections.abc import Iterator, Sequence

# Normally a worker ends as soon as its client closes; the limit keeps a test
# from hanging on a client that leaves its connection open.
_JOIN_S = 20


class RawServer:
    """Serves scripted bytes to each connection.

    With ``hold``, a connection stays open after its last response until
    ``release`` is set.
    """

    def __init__(
        self, responses: Sequence[Sequence[bytes]], *, hold: bool = False
    ) -> None:
        self.requests: list[bytes] = []
        self.accepted = 0
        self.finished = 0
        self.release = threading.Event()
        if not hold:
            self.release.set()
        self._responses = responses
        self._workers: list[threading.Thread] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def close(self) -> None:
        self.release.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join()
        for worker in self._workers:
            worker.join(_JOIN_S)
        if any(worker.is_alive() for worker in self._workers):
            raise AssertionError("a client left its connection open")

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            for responses in self._responses:
                connection, _ = self._listener.accept()
                self.accepted += 1
                worker = threading.Thread(
                    target=self._serve_connection,
                    args=(connection, responses),
                    daemon=True,
                )
                self._workers.append(worker)
                worker.start()

    def _serve_connection(
        self, connection: socket.socket, responses: Sequence[bytes]
    ) -> None:
        with connection, contextlib.suppress(OSError):
            self._respond(connection, responses)

    def _respond(
        self, connection: socket.socket, responses: Sequence[bytes]
    ) -> None:
        for response in responses:
            received = _read_request(connection)
            if not received:
                return
            self.requests.append(received)
            connection.sendall(response)
        self.release.wait()
        connection.shutdown(socket.SHUT_WR)
        self.finished += 1
        while connection.recv(1 << 16):
            pass


def _read_request(connection: socket.socket) -> bytes:
    received = b""
    while True:
        data = connection.recv(1 << 16)
        received += data
        head, end, body = received.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: (\d+)", head)
        expected = int(length.group(1)) if length else 0
        if not data or (end and len(body) >= expected):
            return received


@contextlib.contextmanager
def raw_server(
    *responses: Sequence[bytes], hold: bool = False
) -> Iterator[RawServer]:
    """Runs a server; each argument lists the responses on one connection."""
    server = RawServer(responses, hold=hold)
    try:
        yield server
    finally:
        server.close()
