"""Requests whose replies are received later than they are sent."""

from __future__ import annotations

import http.client
import json
import socket

from tests.endtoend.fleet import CALLER, CHAT_PATH, chat_body
from tools.processes import HttpResponse

_TIMEOUT_S = 30.0
_RECEIVE_BYTES = 65_536


class PendingRequest:
    """A request for a whole answer that has been sent.

    Args:
        address: The daemon that is asked.
        text: The prompt.
        session: The session to go on with.
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
        """Returns the reply."""
        reply = self._connection.getresponse()
        received = HttpResponse(reply.status, dict(reply.headers), reply.read())
        self._connection.close()
        return received

    def leave(self) -> None:
        """Closes the connection without waiting for the reply."""
        self._connection.close()


def connect(address: str) -> socket.socket:
    """Returns a connection on which nothing has been sent."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=_TIMEOUT_S)


def exchange_bytes(address: str, data: bytes) -> bytes:
    """Sends bytes and returns all that comes until the peer closes.

    A peer may close before it has read everything; what it sent counts. The
    sending side stays open: a server may take a half-closed connection for
    one whose caller has gone.
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
