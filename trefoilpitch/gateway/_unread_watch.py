"""Watches a connection whose client has not read its response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from trefoilpitch.gateway._memory_budget import HeldKind, Outcome
from trefoilpitch.gateway._memory_guard import (
    ConnectionAccount,
    MemoryGuard,
)

_MS_PER_S = 1_000
_CHECK_MS = 1_000
# Bytes buffered for a slow caller; above this writers wait.
_WRITE_BUFFER_BYTES = 64 * 1024
# The writer of a stream goes on when a client has read this fraction of what is
# held for it.
_RESUME_FRACTION = 0.75
# After so long without reading, the connection may be evicted.
_EVICTABLE_MS = 2_000


class UnreadWatch:
    """Accounts for the unread response of one connection.

    A client that reads nothing for a while loses its connection: what is held
    for it is of no use.

    Args:
        transport: The connection.
        account: Its account.
        guard: The budget.
        on_unread: Called when the client has read nothing for too long.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        account: ConnectionAccount,
        guard: MemoryGuard,
        on_unread: Callable[[], None],
    ) -> None:
        self._transport = transport
        self._account = account
        self._guard = guard
        self._on_unread: Callable[[], None] | None = on_unread
        self._timer: asyncio.TimerHandle | None = None
        # Bytes of an upstream's response that are not written yet.
        self._unwritten = 0
        self._written = 0
        self._read = 0
        self._silent_ms = 0
        # Whether a request is in progress.
        self._active = False
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)

    @property
    def exceeded(self) -> bool:
        """Whether more is unread than the budget has room for."""
        unread = self._transport.get_write_buffer_size()
        return unread > _WRITE_BUFFER_BYTES and not self._update()

    def hold(self, size: int) -> bool:
        """Accounts for the part of a response that is not written yet.

        Returns:
            Whether there is room for it.
        """
        self._unwritten = size
        return self._update()

    def written(self, size: int) -> None:
        """Accounts for bytes that were given to the transport."""
        self._written += size
        if self._timer is None and self._transport.get_write_buffer_size():
            self._start()
        self._update()

    def begin_request(self) -> None:
        """Protects the connection: its request is passed on."""
        self._active = True
        self._account.passed_on = True

    def begin_stream(self) -> None:
        """Lets the client fall behind without blocking the upstream."""
        if self._guard.limited:
            high = self._guard.clients.max_unread_bytes
            self._transport.set_write_buffer_limits(
                high=high, low=int(high * _RESUME_FRACTION)
            )

    def end_response(self) -> None:
        """Ends a response; what the client has not read is still held."""
        self._active = False
        self._account.passed_on = False
        self._unwritten = 0
        self._update()
        self._transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)

    def close(self) -> None:
        """Ends the watch."""
        if self._timer is not None:
            self._timer.cancel()
        # The connection refers to this object.
        self._on_unread = None

    def _update(self) -> bool:
        size = self._unwritten + self._transport.get_write_buffer_size()
        outcome = self._guard.hold(self._account, HeldKind.RESPONSE, size)
        return outcome is Outcome.GRANTED

    def _start(self) -> None:
        self._silent_ms = 0
        self._timer = asyncio.get_running_loop().call_later(
            _CHECK_MS / _MS_PER_S, self._check
        )

    def _check(self) -> None:
        self._timer = None
        unread = self._transport.get_write_buffer_size()
        read = self._written - unread
        if read > self._read or not unread:
            self._guard.record_progress(self._account, read - self._read)
            self._account.passed_on = self._active
            silent_ms = 0
        else:
            silent_ms = self._silent_ms + _CHECK_MS
        self._read = read
        self._update()
        if not unread:
            return
        self._start()
        self._silent_ms = silent_ms
        if not self._guard.limited or self._on_unread is None:
            return
        if silent_ms >= _EVICTABLE_MS:
            self._account.passed_on = False
        if silent_ms >= self._guard.clients.unread_timeout_ms:
            self._on_unread()
