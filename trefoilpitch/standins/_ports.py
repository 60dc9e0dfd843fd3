"""Ports for processes that are told where to listen."""

from __future__ import annotations

import itertools
import os
import socket

_HOST = "127.0.0.1"
# Below the range from which the kernel takes ports for connections, so that
# none of these can take a port between its choice and its use.
_FIRST_PORT = 10_000
_PORTS = 9_000
_next_ports = itertools.count(os.getpid() * 37)


def free_port() -> int:
    """Returns a port that is free for TCP and UDP."""
    while True:
        port = _FIRST_PORT + next(_next_ports) % _PORTS
        with (
            socket.socket() as stream,
            socket.socket(type=socket.SOCK_DGRAM) as datagrams,
        ):
            try:
                stream.bind((_HOST, port))
                datagrams.bind((_HOST, port))
            except OSError:
                continue
            return port
