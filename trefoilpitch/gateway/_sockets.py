"""Detection of TCP peers that no longer respond."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import socket
import struct
from asyncio.trsock import TransportSocket
from collections.abc import Callable

from trefoilpitch.gateway._log import log_event

# The kernel drops a connection to an unresponsive peer after about three
# seconds, the time within which the platform's rules require detection.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_USER_TIMEOUT_MS = 3_000
_NO_USER_TIMEOUT = 0
# Interval of the checks of a connection with outstanding data.
_CHECK_INTERVAL_MS = 1_000
# Successive checks with unanswered probes that show an unresponsive peer.
_UNANSWERED_CHECKS = 3
# Longest interval of window probes. The option, from linux/tcp.h, exists since
# Linux 6.15; before, the interval doubles up to two minutes.
_TCP_RTO_MAX_MS = 44
_PROBE_INTERVAL_MS = 1_000
# Four fields of struct tcp_info in linux/tcp.h: tcpi_probes, tcpi_unacked,
# tcpi_last_ack_recv and tcpi_notsent_bytes.
_TCP_INFO = struct.Struct("=3xB20xI28xI84xI")
_MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _SendState:
    """What the kernel knows of the data that a connection sends."""

    # Window probes since the last one that was answered.
    unanswered_probes: int
    # Segments that are sent and not acknowledged.
    unacknowledged: int
    # Bytes that are not sent.
    unsent_bytes: int
    # Time since the last acknowledgement, in milliseconds.
    acknowledged_age_ms: int

    @property
    def outstanding(self) -> bool:
        """Whether the peer has not acknowledged all data."""
        return self.unacknowledged > 0 or self.unsent_bytes > 0

    @property
    def window_closed(self) -> bool:
        """Whether the peer's receive window leaves no room for a segment."""
        return self.unacknowledged == 0 and self.unsent_bytes > 0


class PeerMonitor:
    """Detects that the peer of a connection no longer responds.

    The kernel drops a connection whose peer acknowledges nothing within the
    user timeout. That timeout also ends connections whose peer acknowledges
    window probes but reads nothing. It is therefore off while the receive
    window is closed, and the monitor checks that probes are answered.

    Where the kernel does not report the state of a connection, the user timeout
    always holds.

    Args:
        transport: The connection; sets the options of its socket.
        on_unresponsive: Called once when probes remain unanswered.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        on_unresponsive: Callable[[], None],
    ) -> None:
        self._transport = transport
        self._on_unresponsive: Callable[[], None] | None = on_unresponsive
        self._socket: TransportSocket | None = transport.get_extra_info(
            "socket"
        )
        self._timer: asyncio.TimerHandle | None = None
        self._window_closed = False
        self._unanswered_checks = 0
        if self._socket is not None:
            _set_options(self._socket)

    def data_written(self) -> None:
        """Checks the connection until all data is acknowledged."""
        if self._timer is None and self._socket is not None:
            self._timer = asyncio.get_running_loop().call_later(
                _CHECK_INTERVAL_MS / _MS_PER_S, self._check
            )

    def close(self) -> None:
        """Ends the checks."""
        if self._timer is not None:
            self._timer.cancel()
        self._socket = None
        # The owner refers to this object.
        self._on_unresponsive = None

    def _check(self) -> None:
        self._timer = None
        if self._socket is None:
            return
        state = _read_send_state(self._socket)
        if state is None:
            return
        self._follow_window(self._socket, state)
        if self._unanswered_checks >= _UNANSWERED_CHECKS:
            self._report(state)
        elif state.outstanding or self._transport.get_write_buffer_size():
            self.data_written()

    def _follow_window(self, sock: TransportSocket, state: _SendState) -> None:
        if state.window_closed != self._window_closed:
            self._window_closed = state.window_closed
            _set_user_timeout(sock, window_closed=state.window_closed)
        if (
            state.window_closed
            and state.unanswered_probes > 0
            and state.acknowledged_age_ms >= _USER_TIMEOUT_MS
        ):
            self._unanswered_checks += 1
        else:
            self._unanswered_checks = 0

    def _report(self, state: _SendState) -> None:
        log_event(
            "peer_unresponsive",
            peer=str(self._transport.get_extra_info("peername")),
            acknowledged_age_ms=state.acknowledged_age_ms,
            unsent_bytes=state.unsent_bytes,
        )
        on_unresponsive = self._on_unresponsive
        self.close()
        if on_unresponsive is not None:
            on_unresponsive()


def _set_options(sock: TransportSocket) -> None:
    """Enables keepalive, the user timeout and TCP_NODELAY."""
    tcp = socket.IPPROTO_TCP
    _set_option(sock, socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    _set_option(sock, tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    _set_option(sock, tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    _set_option(sock, tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    _set_option(sock, tcp, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
    _set_option(sock, tcp, socket.TCP_NODELAY, 1)


def _set_user_timeout(sock: TransportSocket, *, window_closed: bool) -> None:
    timeout_ms = _NO_USER_TIMEOUT if window_closed else _USER_TIMEOUT_MS
    _set_option(sock, socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    if window_closed:
        # Rare probes would delay the detection.
        _set_option(
            sock, socket.IPPROTO_TCP, _TCP_RTO_MAX_MS, _PROBE_INTERVAL_MS
        )


def _set_option(
    sock: TransportSocket, level: int, option: int, value: int
) -> None:
    try:
        sock.setsockopt(level, option, value)
    except OSError as error:
        _log_refusal(level, option, str(error))


def _read_send_state(
    sock: TransportSocket,
) -> _SendState | None:
    """Returns the state; None if the kernel does not report it."""
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
        )
    except OSError as error:
        _log_refusal(socket.IPPROTO_TCP, socket.TCP_INFO, str(error))
        return None
    if len(info) < _TCP_INFO.size:
        _log_refusal(socket.IPPROTO_TCP, socket.TCP_INFO, "incomplete")
        return None
    probes, unacknowledged, age_ms, unsent_bytes = _TCP_INFO.unpack(info)
    return _SendState(
        unanswered_probes=probes,
        unacknowledged=unacknowledged,
        unsent_bytes=unsent_bytes,
        acknowledged_age_ms=age_ms,
    )


@functools.cache
def _log_refusal(level: int, option: int, reason: str) -> None:
    """Logs a refused option once in the life of the process."""
    log_event(
        "socket_option_refused", level=level, option=option, reason=reason
    )
