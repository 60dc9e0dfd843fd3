"""A stand-in for a worker that implements the platform's protocol."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
from collections import deque
from collections.abc import Callable
from types import TracebackType
from typing import Any, Self

from trefoilpitch.fleet import RequestLimits
from trefoilpitch.gateway import (
    HttpRequest,
    HttpServer,
    Responder,
    ServerState,
)

_LOOPBACK = "127.0.0.1"
_HEALTH_TARGET = b"/health"
_MS_PER_S = 1_000
_ATTEMPT_ID_HEADER = "X-Trefoilpitch-Request-Attempt-Id"
_PREFIX_HEADER = "x-trefoilpitch-prompt-prefix-hash"
# Lets written bytes go out before a connection is reset.
_FLUSH_S = 0.01


class WorkerFault(enum.Enum):
    """Fault to inject into a request."""

    # Status 503, marked as not executed.
    SHED = "shed"
    # Executed; status 500.
    ERROR = "error"
    # Executed; the connection is closed without a response.
    LOST = "lost"
    # The response carries the ID of another request.
    CROSSED = "crossed"
    # The body is truncated; a stream is truncated in mid-event.
    CUT = "cut"
    # A stream is broken off after its last event, before the end of the body.
    CUT_AT_END = "cut_at_end"
    # Executed; no response until the stand-in's `release` is set.
    HANG = "hang"
    # Status 200 without the worker's seal.
    UNSEALED = "unsealed"
    # Status 201 without the worker's seal.
    UNSEALED_CREATED = "unsealed_created"
    # Status 404 with the worker's seal.
    MISSING = "missing"
    # A body without a length, delimited by the end of the connection.
    UNFRAMED = "unframed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerRun:
    """Record of a request that a worker started to execute."""

    # ID of the client's request attempt.
    request_id: str
    # Request headers, with names in lower case.
    headers: dict[str, str]
    # HTTP method and request target, separated by a space.
    line: str
    # The request's body.
    body: bytes
    # The injected fault; None if there is none.
    fault: WorkerFault | None = None

    @property
    def parts(self) -> list[str]:
        """IDs of the parts of the prompt, in order."""
        entries = self.headers.get(_PREFIX_HEADER, "").split(",")
        return [entry.partition(":")[0] for entry in entries if entry]


class PlatformWorkerStandIn:
    """Serves plain responses and, for targets with ``/stream/``, streams.

    A stream consists of `events` events, numbered from 1. With
    ``Last-Event-Id`` it resumes after that event.

    Args:
        worker_id: ID of this worker; a request that expects another is
            refused with status 421.
    """

    def __init__(self, worker_id: str) -> None:
        self.worker_id = worker_id
        # Faults of the next requests, one each, oldest first.
        self.faults: deque[WorkerFault] = deque()
        # Requests that it has executed, in order.
        self.runs: list[WorkerRun] = []
        # Number of requests that were cancelled before the response ended.
        self.abandoned = 0
        # Called with each run as it starts.
        self.on_run: Callable[[WorkerRun], None] = lambda run: None
        # Number of events in a stream.
        self.events = 5
        # Delay before each response and after each event, in milliseconds.
        self.response_delay_ms = 0
        # Delay after each event if it differs from that, in milliseconds.
        self.event_delay_ms: int | None = None
        # Value of the confidence header, by model.
        self.confidence: dict[str, int] = {}
        # Whether all responses announce that the worker is leaving.
        self.leaving = False
        # Load report of its responses.
        self.load = "1,0,8"
        # Value of the Server-Brittle header of all responses; None for none.
        self.brittle: str | None = None
        # Value of the Server-Limit header of all responses; None for none.
        self.rate_limit: str | None = None
        # Value of the Retry-After header of shed requests; None for none.
        self.retry_after: str | None = None
        # Number of requests that it has shed.
        self.shed = 0
        # Value of X-Trefoilpitch-Cold-Ms in health responses; None for none.
        self.cold_ms: str | None = None
        # Number of health responses.
        self.health_reads = 0
        # Cleared while the worker is silent: it accepts requests and goes on
        # with them, but sends nothing.
        self.speaking = asyncio.Event()
        self.speaking.set()
        # Interval of comments on silent streams, in milliseconds; 0 for none.
        self.comment_interval_ms = 0
        # Parts of prompts on which the worker crashes when it begins to write
        # an answer: it ends all connections, refuses new ones, and comes back
        # under another ID and port.
        self.crashing_parts: frozenset[str] = frozenset()
        # Number of events that it writes before that.
        self.events_before_crash = 0
        # Requests on which it crashes before it writes anything, each as its
        # line (see `WorkerRun.line`) and body.
        self.crashing_requests: frozenset[tuple[str, bytes]] = frozenset()
        # Time from the start of such a request to the crash, in milliseconds.
        self.crash_delay_ms = 40
        # Time for which it is gone, in milliseconds.
        self.restart_delay_ms = 500
        # Called after each restart.
        self.on_restart: Callable[[], None] = lambda: None
        # Monotonic times of its crashes, in seconds.
        self.crashed_s: list[float] = []
        self._restart: asyncio.Task[None] | None = None
        # Set to let requests with a HANG fault continue.
        self.release = asyncio.Event()
        self.port = 0
        self._server = HttpServer(
            ServerState(
                handler=self._handle, limits=RequestLimits, now_ms=lambda: 0
            )
        )

    async def __aenter__(self) -> Self:
        self._server.__enter__()
        self.port = await self._server.listen(_LOOPBACK, 0)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._restart is not None:
            self._restart.cancel()
        self._server.__exit__(exc_type, exc, traceback)

    def stop(self) -> None:
        """Stops the worker at once and resets its connections."""
        self._server.__exit__(None, None, None)

    def entry(self, service: str, **fields: object) -> dict[str, Any]:
        """Returns the entry with which the worker registers in the store."""
        return {
            "service": service,
            "address": f"{_LOOPBACK}:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": 1,
            **fields,
        }

    def _health_headers(self) -> list[tuple[bytes, bytes]]:
        if self.cold_ms is None:
            return []
        return [(b"X-Trefoilpitch-Cold-Ms", self.cold_ms.encode())]

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        headers = {
            name.decode().lower(): value.decode()
            for name, value in request.headers
        }
        expected = headers.get("x-trefoilpitch-expect-instance")
        await self.speaking.wait()
        if expected is None and request.target == _HEALTH_TARGET:
            self.health_reads += 1
            await responder.respond(200, self._health_headers(), b"")
            return
        if expected != self.worker_id:
            await responder.respond(421, [], b"")
            return
        fault = self.faults.popleft() if self.faults else None
        if fault is WorkerFault.SHED:
            self.shed += 1
            await responder.respond(503, self._shed_headers(), b"")
            return
        run = WorkerRun(
            request_id=headers[_ATTEMPT_ID_HEADER.lower()],
            headers=headers,
            line=f"{request.method.decode()} {request.target.decode()}",
            body=request.body,
            fault=fault,
        )
        self.runs.append(run)
        self.on_run(run)
        try:
            await self._respond(run, fault, responder)
        except BaseException:
            self.abandoned += 1
            raise

    async def _respond(
        self, run: WorkerRun, fault: WorkerFault | None, responder: Responder
    ) -> None:
        if fault is WorkerFault.LOST:
            responder.abort()
            return
        if fault is WorkerFault.HANG:
            await self.release.wait()
        if (run.line, run.body) in self.crashing_requests:
            await asyncio.sleep(self.crash_delay_ms / _MS_PER_S)
            self._crash()
            return
        if self.response_delay_ms:
            await asyncio.sleep(self.response_delay_ms / _MS_PER_S)
        headers = self._headers(run, fault)
        if not self.crashing_parts.isdisjoint(run.parts):
            await self._begin_and_crash(run, headers, responder)
            return
        statuses = {
            WorkerFault.ERROR: 500,
            WorkerFault.UNSEALED_CREATED: 201,
            WorkerFault.MISSING: 404,
        }
        if fault in statuses:
            await responder.respond(statuses[fault], headers, b"other")
        elif "/stream/" in run.line:
            await self._respond_stream(run, fault, headers, responder)
        else:
            await self._respond_plain(run, fault, headers, responder)

    async def _begin_and_crash(
        self,
        run: WorkerRun,
        headers: list[tuple[bytes, bytes]],
        responder: Responder,
    ) -> None:
        """Begins to write an answer and ends all connections."""
        await responder.start(200, headers)
        for number in range(1, self.events_before_crash + 1):
            await responder.write(_event(run, number))
        await asyncio.sleep(_FLUSH_S)
        self._crash()

    def _crash(self) -> None:
        if self._restart is None or self._restart.done():
            self.crashed_s.append(asyncio.get_running_loop().time())
            self._restart = asyncio.create_task(self._end_and_restart())

    async def _end_and_restart(self) -> None:
        self.stop()
        await asyncio.sleep(self.restart_delay_ms / _MS_PER_S)
        name = self.worker_id.partition("+")[0]
        self.worker_id = f"{name}+{len(self.crashed_s)}"
        self.port = await self._server.listen(_LOOPBACK, 0)
        self.on_restart()

    async def _wait_silently(self, responder: Responder) -> None:
        while self.comment_interval_ms and not self.speaking.is_set():
            await responder.write(b": silent\n\n")
            await asyncio.sleep(self.comment_interval_ms / _MS_PER_S)
        await self.speaking.wait()

    def _announcements(self) -> list[tuple[bytes, bytes]]:
        """Returns what all responses say of the worker."""
        headers = []
        if self.leaving:
            headers.append((b"Server-Leaving", b"1"))
        if self.brittle is not None:
            headers.append((b"Server-Brittle", self.brittle.encode()))
        if self.rate_limit is not None:
            headers.append((b"Server-Limit", self.rate_limit.encode()))
        return headers

    def _shed_headers(self) -> list[tuple[bytes, bytes]]:
        headers = [(b"X-Trefoilpitch-Not-Executed", b"1")]
        headers.extend(self._announcements())
        if self.retry_after is not None:
            headers.append((b"Retry-After", self.retry_after.encode()))
        return headers

    def _headers(
        self, run: WorkerRun, fault: WorkerFault | None
    ) -> list[tuple[bytes, bytes]]:
        request_id = run.request_id
        if fault is WorkerFault.CROSSED:
            request_id = "another"
        headers = [
            (_ATTEMPT_ID_HEADER.encode(), request_id.encode()),
            (b"X-Trefoilpitch-Instance-Load", self.load.encode()),
        ]
        if fault not in (WorkerFault.UNSEALED, WorkerFault.UNSEALED_CREATED):
            seal = f"seal-{self.worker_id}".encode()
            headers.append((b"X-Trefoilpitch-Response-Seal", seal))
        model = run.headers.get("x-trefoilpitch-model", "")
        if model in self.confidence:
            confidence = str(self.confidence[model]).encode()
            headers.append((b"X-Trefoilpitch-Confidence", confidence))
        headers.extend(self._announcements())
        return headers

    async def _respond_plain(
        self,
        run: WorkerRun,
        fault: WorkerFault | None,
        headers: list[tuple[bytes, bytes]],
        responder: Responder,
    ) -> None:
        body = f"{self.worker_id} {run.line} ".encode() + run.body
        if fault is WorkerFault.CUT:
            length = (b"Content-Length", str(len(body)).encode())
            await responder.start(200, [*headers, length])
            await responder.write(body[:-1])
            await asyncio.sleep(0)
            responder.abort()
        elif fault is WorkerFault.UNFRAMED:
            closing = (b"Connection", b"close")
            await responder.start(200, [*headers, closing])
            await responder.write(body)
            responder.finish()
        else:
            await responder.respond(200, headers, body)

    async def _respond_stream(
        self,
        run: WorkerRun,
        fault: WorkerFault | None,
        headers: list[tuple[bytes, bytes]],
        responder: Responder,
    ) -> None:
        kind = (b"Content-Type", b"text/event-stream")
        await responder.start(200, [*headers, kind])
        first = int(run.headers.get("last-event-id", "0")) + 1
        delay_ms = self.response_delay_ms
        if self.event_delay_ms is not None:
            delay_ms = self.event_delay_ms
        for number in range(first, self.events + 1):
            event = _event(run, number)
            if fault is WorkerFault.CUT and number == first + 1:
                await responder.write(event[:-4])
                await asyncio.sleep(_FLUSH_S)
                responder.abort()
                return
            await self._wait_silently(responder)
            await responder.write(event)
            if delay_ms:
                await asyncio.sleep(delay_ms / _MS_PER_S)
        if fault is WorkerFault.CUT_AT_END:
            await asyncio.sleep(_FLUSH_S)
            responder.abort()
            return
        responder.finish()


def _event(run: WorkerRun, number: int) -> bytes:
    return f"id: {number}\ndata: {run.request_id}-{number}\n\n".encode()
