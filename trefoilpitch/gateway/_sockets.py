"""TCP socket options that detect unresponsive peers."""

from __future__ import annotations

import asyncio
import socket

# The kernel drops a connection to an unresponsive peer after about three
# seconds, the time within which the platform's rules require detection.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_USER_TIMEOUT_MS = 3_000


def set_tcp_options(transport: asyncio.BaseTransport) -> None:
    """Enables keepalive, a user timeout and TCP_NODELAY.

    The kernel then resets a connection whose peer no longer responds.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)
