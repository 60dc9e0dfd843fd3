"""The bounded send queue and the socket to one peer."""

from __future__ import annotations

import collections

import pynng
from returns.result import Failure, Result, Success

from trefoilpitch.peering._exceptions import DialFailedError

# pynng's own send buffer would accept frames while there is no connection and
# deliver them arbitrarily late. Without it they stay in the dialer's queue,
# where they expire.
_SOCKET_BUFFER_FRAMES = 0


class Dialer:
    """Queues messages for one peer and sends frames without blocking.

    Not safe for use from several threads at once.

    Args:
        socket: The dialling socket; the dialer takes ownership.
        queue_limit_bytes: Maximum total size of the queued messages.
    """

    def __init__(self, socket: pynng.Push0, queue_limit_bytes: int) -> None:
        self._socket = socket
        self._limit_bytes = queue_limit_bytes
        self._queue: collections.deque[tuple[int, bytes]] = collections.deque()
        self._queued_bytes = 0

    @property
    def has_queued(self) -> bool:
        """Whether any message is queued."""
        return bool(self._queue)

    def enqueue(self, message: bytes, now_ms: int) -> bool:
        """Queues a message; returns False if the queue is full."""
        if self._queued_bytes + len(message) > self._limit_bytes:
            return False
        self._queue.append((now_ms, message))
        self._queued_bytes += len(message)
        return True

    def expire(self, oldest_ms: int) -> int:
        """Drops messages queued before ``oldest_ms``; returns their count."""
        count = 0
        while self._queue and self._queue[0][0] < oldest_ms:
            self._drop_first()
            count += 1
        return count

    def peek(self, limit_bytes: int) -> list[bytes]:
        """Returns the oldest messages that fit into one frame.

        Returns at least one message unless the queue is empty.
        """
        batch: list[bytes] = []
        size = 0
        for _, message in self._queue:
            size += len(message)
            if batch and size > limit_bytes:
                break
            batch.append(message)
        return batch

    def discard(self, count: int) -> None:
        """Removes the oldest messages after they were sent."""
        for _ in range(count):
            self._drop_first()

    def try_send(self, frame: bytes) -> bool:
        """Sends a frame without blocking; returns whether it was sent."""
        try:
            self._socket.send(frame, block=False)
        except pynng.NNGException:
            return False
        return True

    def close(self) -> int:
        """Closes the socket; returns the number of discarded messages."""
        self._socket.close()
        discarded = len(self._queue)
        self._queue.clear()
        self._queued_bytes = 0
        return discarded

    def _drop_first(self) -> None:
        _, message = self._queue.popleft()
        self._queued_bytes -= len(message)


def open_dialer(
    address: str,
    *,
    queue_limit_bytes: int,
    reconnect_min_ms: int,
    reconnect_max_ms: int,
) -> Result[Dialer, DialFailedError]:
    """Opens a socket that connects to a peer in the background.

    Args:
        address: IP number and port of the peer's socket.
        queue_limit_bytes: Maximum total size of the queued messages.
        reconnect_min_ms: First delay before connecting again.
        reconnect_max_ms: Maximum delay before connecting again.
    """
    socket = pynng.Push0(send_buffer_size=_SOCKET_BUFFER_FRAMES)
    socket.reconnect_time_min = reconnect_min_ms
    socket.reconnect_time_max = reconnect_max_ms
    try:
        socket.dial(f"tcp://{address}", block=False)
    except pynng.NNGException as error:
        socket.close()
        return Failure(DialFailedError(address, str(error)))
    return Success(Dialer(socket, queue_limit_bytes))
