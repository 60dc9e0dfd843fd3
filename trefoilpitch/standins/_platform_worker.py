"""A worker as the platform describes it, for tests without the platform."""

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
_MS_PER_S = 1_000
_ID = "X-Trefoilpitch-Request-Attempt-Id"


class WorkerFault(enum.Enum):
    """How the next request goes wrong."""

    # Rejected as not run, with status 503.
    SHED = "shed"
    # Run, and answered with status 500.
    ERROR = "error"
    # Run, and the connection closed without an answer.
    LOST = "lost"
    # Answered with the id of another request.
    CROSSED = "crossed"
    # The body, or the stream inside an event, is cut off.
    CUT = "cut"
    # Run, and never answered.
    HANG = "hang"
    # A success without the worker's signature.
    UNSEALED = "unsealed"
    # The same with status 201.
    UNSEALED_CREATED = "unsealed_created"
    # Answered with status 404, which the worker does sign.
    MISSING = "missing"
    # A body without a length that the connection's end completes.
    UNFRAMED = "unframed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerRun:
    """A request that a worker began to work on."""

    # The caller's attempt.
    request_id: str
    # Headers with their names in lower case.
    headers: dict[str, str]
    # Method and target.
    line: str
    # The body.
    body: bytes
    # How it goes wrong; None if it does not.
    fault: WorkerFault | None = None


class PlatformWorkerStandIn:
    """Serves plain requests, and streams where the target says so.

    A target with ``/stream/`` is answered with `events` events, numbered from
    one or from the one after ``Last-Event-Id``.

    Args:
        worker_id: Its id; a request that expects another is refused.
    """

    def __init__(self, worker_id: str) -> None:
        self.worker_id = worker_id
        # Faults of the next requests, oldest first.
        self.faults: deque[WorkerFault] = deque()
        # What it worked on, in order.
        self.runs: list[WorkerRun] = []
        # Requests whose caller left before the answer was done.
        self.abandoned = 0
        # Called for each run.
        self.on_run: Callable[[WorkerRun], None] = lambda run: None
        # Events of a stream.
        self.events = 5
        # Time before an answer, and before each event of a stream.
        self.response_delay_ms = 0
        # Confidence by model.
        self.confidence: dict[str, int] = {}
        # Set to let requests that hang go on.
        self.release = asyncio.Event()
        self.port = 0
        self._server = HttpServer(
            ServerState(
                handler=self._answer, limits=RequestLimits, now_ms=lambda: 0
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
        self._server.__exit__(exc_type, exc, traceback)

    def entry(self, service: str, **fields: object) -> dict[str, Any]:
        """Returns the entry that the worker writes into the store."""
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

    async def _answer(self, request: HttpRequest, responder: Responder) -> None:
        headers = {
            name.decode().lower(): value.decode()
            for name, value in request.headers
        }
        expected = headers.get("x-trefoilpitch-expect-instance")
        if expected != self.worker_id:
            await responder.respond(421, [], b"")
            return
        fault = self.faults.popleft() if self.faults else None
        if fault is WorkerFault.SHED:
            not_run = [(b"X-Trefoilpitch-Not-Executed", b"1")]
            await responder.respond(503, not_run, b"")
            return
        run = WorkerRun(
            request_id=headers[_ID.lower()],
            headers=headers,
            line=f"{request.method.decode()} {request.target.decode()}",
            body=request.body,
            fault=fault,
        )
        self.runs.append(run)
        self.on_run(run)
        try:
            await self._work(run, fault, responder)
        except BaseException:
            self.abandoned += 1
            raise

    async def _work(
        self, run: WorkerRun, fault: WorkerFault | None, responder: Responder
    ) -> None:
        if fault is WorkerFault.LOST:
            responder.abort()
            return
        if fault is WorkerFault.HANG:
            await self.release.wait()
        if self.response_delay_ms:
            await asyncio.sleep(self.response_delay_ms / _MS_PER_S)
        headers = self._headers(run, fault)
        statuses = {
            WorkerFault.ERROR: 500,
            WorkerFault.UNSEALED_CREATED: 201,
            WorkerFault.MISSING: 404,
        }
        if fault in statuses:
            await responder.respond(statuses[fault], headers, b"other")
        elif "/stream/" in run.line:
            await self._stream(run, fault, headers, responder)
        else:
            await self._plain(run, fault, headers, responder)

    def _headers(
        self, run: WorkerRun, fault: WorkerFault | None
    ) -> list[tuple[bytes, bytes]]:
        request_id = run.request_id
        if fault is WorkerFault.CROSSED:
            request_id = "another"
        headers = [
            (_ID.encode(), request_id.encode()),
            (b"X-Trefoilpitch-Instance-Load", b"1,0,8"),
        ]
        if fault not in (WorkerFault.UNSEALED, WorkerFault.UNSEALED_CREATED):
            seal = f"seal-{self.worker_id}".encode()
            headers.append((b"X-Trefoilpitch-Response-Seal", seal))
        model = run.headers.get("x-trefoilpitch-model", "")
        if model in self.confidence:
            confidence = str(self.confidence[model]).encode()
            headers.append((b"X-Trefoilpitch-Confidence", confidence))
        return headers

    async def _plain(
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

    async def _stream(
        self,
        run: WorkerRun,
        fault: WorkerFault | None,
        headers: list[tuple[bytes, bytes]],
        responder: Responder,
    ) -> None:
        kind = (b"Content-Type", b"text/event-stream")
        await responder.start(200, [*headers, kind])
        first = int(run.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            event = (
                f"id: {number}\ndata: {run.request_id}-{number}\n\n".encode()
            )
            if fault is WorkerFault.CUT and number == first + 1:
                await responder.write(event[:-4])
                # Lets the bytes leave before the reset.
                await asyncio.sleep(0.01)
                responder.abort()
                return
            await responder.write(event)
            if self.response_delay_ms:
                await asyncio.sleep(self.response_delay_ms / _MS_PER_S)
        responder.finish()
