"""Sends requests and raw bytes to daemons."""

from __future__ import annotations

import http.client
import json
import socket

from tests.endtoend.fleet import CALLER, CHAT_PATH, chat_body
from tools.processes import HttpResponse

_TIMEOUT_S = 30.0
_RECEIVE_BYTES = 65_536


class PendingRequest:
    """An unstreamed chat request that has been sent but not read yet.

    Args:
        address: Where the daemon listens for callers.
        text: The prompt.
        session: The session to continue; empty to start a new one.
    """

    def __init__(self, address: str, text: str, session: str = "") -> None:
        self._connection = http.client.HTTPConnection(
            address, timeout=_TIMEOUT_S
        )
        fields = {**CALLER, "Content-Type": "application/json"}
        if session:
            fields["Session"] = session
        body = json.dumps(chat_body(text))
        self._connection.request("POST", CHAT_PATH, body, fields)

    def receive(self) -> HttpResponse:
        """Waits for the response and returns it."""
        response = self._connection.getresponse()
        received = HttpResponse(
            response.status, dict(response.headers), response.read()
        )
        self._connection.close()
        return received

    def close(self) -> None:
        """Closes the connection without waiting for the response."""
        self._connection.close()


def connect(address: str) -> socket.socket:
    """Returns a new connection on which nothing has been sent."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=_TIMEOUT_S)


def exchange_bytes(address: str, data: bytes) -> bytes:
    """Sends bytes and returns all that is received until the peer closes.

    If the peer resets the connection before it has read everything, returns
    what was received. The sending side is not shut down, because a server may
    treat a half-closed connection as a disconnected caller.
    """
    with connect(address) as connection:
        received = b""
        try:
            connection.sendall(data)
            while part := connection.recv(_RECEIVE_BYTES):
                received += part
        except ConnectionError:
            return received
        return received
