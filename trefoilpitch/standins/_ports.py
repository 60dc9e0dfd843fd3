"""Picks free ports for processes that get their port as an argument."""

from __future__ import annotations

import itertools
import os
import socket

_HOST = "127.0.0.1"
# Below the kernel's ephemeral port range, so that no outgoing connection can
# take a port between its choice and its use.
_FIRST_PORT = 10_000
_PORTS = 9_000
_port_offsets = itertools.count(os.getpid() * 37)


def free_port() -> int:
    """Returns a port that is free for TCP and UDP."""
    while True:
        port = _FIRST_PORT + next(_port_offsets) % _PORTS
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
