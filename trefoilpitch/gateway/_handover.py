"""Hands the request of an attempt in progress over to another upstream.

Load pattern: a sound upstream falls silent for about a second, and all of its
requests stall at the same time, at all daemons. The other upstreams then refuse
some of them, and the retry budgets are empty. So the stalled attempt is kept
until another upstream has accepted the request; its silence alone never ends a
response before the caller's deadline. The same holds for a good response that a
larger model may replace.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import weakref
from collections.abc import Coroutine
from typing import Any, NoReturn, Protocol, TypeVar

from trefoilpitch.fleet import Member, UpstreamEntry
from trefoilpitch.gateway._crash_evidence import AttemptProgress
from trefoilpitch.gateway._exceptions import ExchangeError
from trefoilpitch.gateway._http_client import HttpConnection
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._messages import UpstreamResponse
from trefoilpitch.gateway._request_dependencies import RequestDependencies
from trefoilpitch.metrics import Label
from trefoilpitch.retries import FailureKind

# How long an attempt is kept while another upstream has the request too.
# Both may work on it for 400 ms at most, and this process may be late.
HANDOVER_MS = 150
_OK = 200
_SERVER_ERROR = 500
_MS_PER_S = 1_000

_T = TypeVar("_T")


@dataclasses.dataclass(slots=True, kw_only=True)
class SentAttempt:
    """An attempt whose request has been sent."""

    entry: UpstreamEntry
    connection: HttpConnection
    # Monotonic time when the request was sent.
    started_ms: int
    # The daemon that relays it; None if it was sent to the upstream itself.
    relay: Member | None = None
    # Whether it has drawn on the retry budget.
    charged: bool = False
    progress: AttemptProgress = dataclasses.field(
        default_factory=AttemptProgress
    )
    # None until the head has arrived and proved valid.
    response: UpstreamResponse | None = None
    # Monotonic time of the first part of the response, if it is known before
    # that part is read.
    first_part_ms: int | None = None


class AttemptSender(Protocol):
    """Sends the attempts of one request and keeps their record."""

    def find_successor(self) -> UpstreamEntry | str:
        """Returns an upstream that has not run it, or why there is none."""

    def counted(
        self, entry: UpstreamEntry
    ) -> contextlib.AbstractContextManager[None]:
        """Counts an attempt as in flight at its upstream."""

    async def begin(self, entry: UpstreamEntry) -> SentAttempt:
        """Connects to an upstream and sends it the request.

        Raises:
            ExchangeError: If the request was not sent.
        """

    def watched(
        self, attempt: SentAttempt
    ) -> contextlib.AbstractContextManager[None]:
        """Examines the upstream of an attempt whose response is cut off."""

    async def receive_response(
        self, attempt: SentAttempt, timeout_ms: float
    ) -> UpstreamResponse:
        """Waits for the head of a response and checks it.

        Raises:
            ExchangeError: If it does not arrive in time, or is a refusal or
                malformed.
        """

    def record_failure(
        self, entry: UpstreamEntry, error: ExchangeError
    ) -> None:
        """Records a failed attempt."""

    def record_stall(self, entry: UpstreamEntry) -> None:
        """Records that an upstream is silent for too long."""

    def record_withdrawn(self, attempt: SentAttempt) -> None:
        """Records an attempt that was abandoned and may have run."""

    def release_credit(self) -> None:
        """Takes back the retry credit of an attempt that was not sent."""


class HandOver:
    """Keeps the attempts of one request until others take over from them.

    Args:
        deps: Collaborators that all requests of the daemon share.
        request_id: The request, for the log.
        sender: Sends its attempts, and owns this object, which therefore does
            not keep it alive.
    """

    def __init__(
        self, deps: RequestDependencies, request_id: str, sender: AttemptSender
    ) -> None:
        self._deps = deps
        self._request_id = request_id
        self._sender_reference = weakref.ref(sender)
        self._successor: SentAttempt | None = None
        # Counts the successor as in flight until it is taken.
        self._place = contextlib.ExitStack()

    @property
    def _sender(self) -> AttemptSender:
        sender = self._sender_reference()
        assert sender is not None
        return sender

    @property
    def successor(self) -> SentAttempt | None:
        """The attempt that takes over from the one in progress, if any."""
        return self._successor

    def take_successor(self) -> SentAttempt | None:
        """Returns the attempt that takes over; the caller then owns it.

        It is counted as in flight until then; the caller counts it before.
        """
        successor, self._successor = self._successor, None
        self._place.close()
        return successor

    def close(self) -> None:
        """Closes the connection of an attempt that nobody has taken."""
        if self._successor is not None:
            self._successor.connection.close()
        self._place.close()

    async def keep(
        self,
        stalled: SentAttempt,
        progress: Coroutine[Any, Any, _T],
        pause_ms: float,
    ) -> _T:
        """Waits on for a stalled attempt, and offers its request to others.

        Args:
            stalled: The attempt; it is kept until another upstream has
                accepted the request, or has not refused it for a while.
            progress: Waits for the next part of its response.
            pause_ms: How long it has been silent, and after how long the
                request is offered again.

        Returns:
            The next part of its response.

        Raises:
            ExchangeError: If another upstream has taken over, or `progress`
                failed.
        """
        waiting = asyncio.create_task(progress)
        silent_ms = pause_ms
        recorded = False
        try:
            # Parts that have already arrived need no offer.
            await asyncio.wait({waiting}, timeout=0)
            while not waiting.done():
                decision = await self._find_successor(waiting)
                self._log(stalled.entry, silent_ms, decision)
                if self._successor is not None:
                    self._raise_superseded(waiting, silent_ms)
                if not recorded:
                    recorded = True
                    self._sender.record_stall(stalled.entry)
                await asyncio.wait({waiting}, timeout=pause_ms / _MS_PER_S)
                silent_ms += pause_ms
            return await waiting
        finally:
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            # Its exception refers to this frame.
            del waiting

    def _raise_superseded(
        self, waiting: asyncio.Task[Any], silent_ms: float
    ) -> NoReturn:
        if waiting.done() and waiting.exception() is not None:
            waiting.result()
        raise ExchangeError(
            FailureKind.RESPONSE_TIMEOUT,
            f"superseded after {silent_ms:.0f} ms",
        )

    def _log(
        self, entry: UpstreamEntry, silent_ms: float, decision: str
    ) -> None:
        self._deps.metrics.count(
            "stalls", Label(name="decision", value=decision.partition(":")[0])
        )
        log_event(
            "attempt_stalled",
            id=self._request_id,
            upstream=entry.upstream_id,
            pause_ms=round(silent_ms),
            decision=decision,
        )

    async def _find_successor(self, stalled: asyncio.Task[Any]) -> str:
        """Sets `_successor` if another upstream takes the request.

        Returns:
            The decision, for the log.
        """
        entry = self._sender.find_successor()
        if not isinstance(entry, UpstreamEntry):
            return f"kept: {entry}"
        return await self.offer(entry, stalled)

    async def offer(
        self, entry: UpstreamEntry, stalled: asyncio.Task[Any] | None = None
    ) -> str:
        """Offers the request to another upstream.

        Sets `successor` if the upstream has accepted the request, or has not
        refused it for a while. Until then the attempt in progress is kept.

        Args:
            entry: The upstream.
            stalled: Waits for the next part of a stalled response, which is
                kept if that part arrives; None to replace a response that is
                not stalled.

        Returns:
            The decision, for the log.
        """
        sender = self._sender
        with contextlib.ExitStack() as place, contextlib.ExitStack() as stack:
            place.enter_context(sender.counted(entry))
            try:
                attempt = await sender.begin(entry)
                stack.enter_context(attempt.connection)
                with sender.watched(attempt):
                    accepted = await self._accepts(attempt, stalled)
            except ExchangeError as error:
                sender.record_failure(entry, error)
                sender.release_credit()
                return f"kept: {entry.upstream_id} {error.kind.value}"
            if not accepted:
                sender.record_withdrawn(attempt)
                return f"kept: resumed before {entry.upstream_id} responded"
            stack.pop_all()
            self._place = place.pop_all()
        self._successor = attempt
        return f"moved: {entry.upstream_id}"

    async def _accepts(
        self, attempt: SentAttempt, stalled: asyncio.Task[Any] | None
    ) -> bool:
        """Returns whether an attempt takes over; see `offer`.

        Raises:
            ExchangeError: If its upstream refused the request or failed.
        """
        response = asyncio.create_task(
            self._sender.receive_response(attempt, HANDOVER_MS)
        )
        try:
            if stalled is not None:
                await asyncio.wait(
                    {stalled, response}, return_when=asyncio.FIRST_COMPLETED
                )
                if stalled.done() and stalled.exception() is None:
                    return False
            attempt.response = await response
            status = attempt.response.head.status
            replaces_success = stalled is None
            if status >= _SERVER_ERROR or (replaces_success and status != _OK):
                raise ExchangeError(
                    FailureKind.SERVER_ERROR, f"status {status}"
                )
        except ExchangeError as error:
            if error.kind is not FailureKind.RESPONSE_TIMEOUT:
                raise
        finally:
            response.cancel()
            await asyncio.gather(response, return_exceptions=True)
            # Its exception refers to this frame.
            del response
        return True
