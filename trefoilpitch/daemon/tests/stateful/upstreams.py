"""In-memory engines and plain services that record their work in the oracle."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Callable, Iterator
from types import TracebackType
from typing import Self

from returns.result import Failure, Result, Success

from trefoilpitch.bundle import Upstream, VersionRef
from trefoilpitch.clock import Clock
from trefoilpitch.daemon.tests.stateful.oracle import Oracle
from trefoilpitch.upstreams import (
    Cancellation,
    Chunk,
    ClientStats,
    CompletionRequest,
    ConnectError,
    FakeEngineClient,
    Finish,
    IncompleteReplyError,
    LoadReport,
    MismatchedReplyError,
    Order,
    OrderKind,
    OrderResponse,
    RefusedError,
    ResponseGoneError,
    ResponseStream,
    ServiceRequest,
    ServiceResponse,
    StaleFencingError,
    UpstreamError,
)

PARTS = 3
# A response that nobody reads is generated and held for this long.
_HOLD_MS = 10_000
# Upper bound of a run's duration (assumption 3 of docs/design/coldstart.md).
_LONGEST_MS = 100_000


def expected_parts(tag: str, version: str) -> list[str]:
    return [f"{tag}|{version}|{part};" for part in range(PARTS)]


@dataclasses.dataclass(eq=False)
class Run:
    """One run of a request; continues for a while after its reader leaves."""

    started_ms: int
    request: CompletionRequest | None = None
    readers: int = 1
    detached_ms: int = 0
    is_cancelled: bool = False


class Backend:
    """One upstream: its concurrency limit, its runs and its planned faults."""

    def __init__(self, node: Upstream, clock: Clock, oracle: Oracle) -> None:
        self.node = node
        self.clock = clock
        self.oracle = oracle
        self.is_up = True
        self.is_leaving = False
        self.generation = 1
        self.successes = 0
        self.running: list[Run] = []
        self.held: dict[str, Run] = {}
        # Loaded versions; None if it does not report them and accepts all.
        self.versions: set[VersionRef] | None = None
        self.orders: list[Order] = []
        # Planned faults; each takes effect once.
        self.cut_after: int | None = None
        self.lose_reply = False
        self.refuse_next = False
        self.mismatch_next = False
        self.order_responses_to_lose = 0

    @property
    def name(self) -> str:
        return self.node.name

    @property
    def concurrency_limit(self) -> int:
        return min(self.node.capacity, self.node.cold_capacity + self.successes)

    def restart(self) -> None:
        self.generation += 1
        self.successes = 0
        self.running.clear()
        self.held.clear()

    def has_loaded(self, version: VersionRef) -> bool:
        return self.versions is None or version in self.versions

    def order(self, order: Order) -> Result[OrderResponse, UpstreamError]:
        """Executes an order; loads complete immediately."""
        assert self.versions is not None and order.version is not None
        numbers = [earlier.fencing_number for earlier in self.orders]
        is_old = order.fencing_number < max(numbers, default=0)
        if is_old and self.node.checks_fencing:
            return Failure(StaleFencingError(self.name, "old number"))
        self.orders.append(order)
        if order.kind is OrderKind.LOAD:
            self.versions.add(order.version)
        else:
            self.versions.discard(order.version)
        if self.order_responses_to_lose:
            self.order_responses_to_lose -= 1
            return Failure(IncompleteReplyError(self.name, "response lost"))
        response = OrderResponse(versions=frozenset(self.versions), role="")
        return Success(response)

    def begin(self, request: CompletionRequest | None = None) -> Run:
        self.cancel_abandoned()
        run = Run(self.clock.now_ms(), request)
        self.running.append(run)
        if request is not None:
            self.held[request.request_id] = run
        self.oracle.run_started(
            self.name, len(self.running), self.concurrency_limit
        )
        return run

    def end(self, run: Run, succeeded: bool) -> None:
        if run in self.running:
            self.running.remove(run)
            self.successes += succeeded

    def attach(self, request_id: str) -> Run | None:
        """Adds a reader to a held response without starting another run."""
        self.cancel_abandoned()
        run = self.held.get(request_id)
        if run is not None:
            run.readers += 1
        return run

    def detach(self, run: Run) -> None:
        run.readers -= 1
        run.detached_ms = self.clock.now_ms()

    def cancel_abandoned(self) -> None:
        """Ends runs without readers after the hold time, and overlong runs."""
        now_ms = self.clock.now_ms()
        for run in [*self.running, *self.held.values()]:
            is_abandoned = (
                not run.readers and now_ms - run.detached_ms > _HOLD_MS
            )
            if is_abandoned or now_ms - run.started_ms > _LONGEST_MS:
                run.is_cancelled = True
                self.end(run, succeeded=False)
                if run.request is not None:
                    self.held.pop(run.request.request_id, None)

    def report(self) -> LoadReport:
        self.cancel_abandoned()
        return LoadReport(
            upstream=self.name,
            incarnation=f"{self.name}-{self.generation}",
            running=len(self.running),
            waiting=0,
            capacity=self.node.capacity,
            warm=self.concurrency_limit >= self.node.capacity,
            leaving=self.is_leaving,
            cached_prefixes=frozenset(),
            versions=None
            if self.versions is None
            else frozenset(self.versions),
            reported_ms=self.clock.wall_ms(),
        )


class EngineStream:
    """A streamed response, generated as it is read."""

    def __init__(self, backend: Backend, run: Run, first: int) -> None:
        self._backend = backend
        self._run = run
        self._next = first
        self._generation = backend.generation
        self._is_attached = True
        self._cut_after, backend.cut_after = backend.cut_after, None

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.cancel()

    def cancel(self) -> None:
        """Disconnects; the engine ends the run after the hold time."""
        if self._is_attached:
            self._is_attached = False
            self._backend.detach(self._run)

    def __iter__(self) -> Iterator[Chunk | Finish]:
        request = self._run.request
        assert request is not None
        tag = request.messages[0].content
        parts = expected_parts(tag, str(request.version))
        for index in range(self._next, PARTS):
            self._check()
            yield Chunk(index=index, text=parts[index], tokens=1)
        self._check()
        self._backend.end(self._run, succeeded=True)
        yield Finish(
            finish_reason="stop",
            prompt_tokens=1,
            output_tokens=PARTS,
            confidence=0.9,
        )

    def _check(self) -> None:
        backend = self._backend
        backend.cancel_abandoned()
        gone = not backend.is_up or backend.generation != self._generation
        cut = self._cut_after == 0
        if self._cut_after is not None:
            self._cut_after -= 1
        if gone or cut or self._run.is_cancelled or not self._is_attached:
            self.cancel()
            raise IncompleteReplyError(backend.name, "cut")


class SimEngineClient(FakeEngineClient):
    """A node's client of an engine."""

    def __init__(self, backend: Backend) -> None:
        super().__init__(backend.name)
        self._backend = backend
        self._streams: list[EngineStream] = []

    def disconnect(self) -> None:
        """Closes all connections, as a crash of the node does."""
        for stream in self._streams:
            stream.cancel()

    def start(
        self,
        request: CompletionRequest,
        cancellation: Cancellation | None = None,
    ) -> Result[ResponseStream, UpstreamError]:
        backend = self._backend
        if not backend.is_up:
            return Failure(ConnectError(backend.name, "refused"))
        if backend.refuse_next or not backend.has_loaded(request.version):
            backend.refuse_next = False
            return Failure(RefusedError(backend.name, "refused"))
        backend.oracle.model_run(
            backend.clock.now_ms(),
            backend.name,
            backend.node.failure_domain,
            str(request.version),
            request.messages[0].content,
        )
        if backend.mismatch_next:
            backend.mismatch_next = False
            return Failure(MismatchedReplyError(backend.name, "crossed"))
        return Success(self._open(backend.begin(request), 0))

    def resume(
        self,
        request_id: str,
        version: VersionRef,
        *,
        after_index: int,
        deadline_ms: int,
        cancellation: Cancellation | None = None,
    ) -> Result[ResponseStream, UpstreamError]:
        backend = self._backend
        run = backend.attach(request_id) if backend.is_up else None
        if run is None:
            return Failure(
                ResponseGoneError(ConnectError(backend.name, "gone"))
            )
        return Success(self._open(run, after_index + 1))

    def _open(self, run: Run, first: int) -> EngineStream:
        stream = EngineStream(self._backend, run, first)
        self._streams.append(stream)
        return stream

    def load_report(
        self, *, deadline_ms: int
    ) -> Result[LoadReport, UpstreamError]:
        if not self._backend.is_up:
            return Failure(ConnectError(self._backend.name, "refused"))
        return Success(self._backend.report())

    def send_order(
        self, order: Order, *, deadline_ms: int
    ) -> Result[OrderResponse, UpstreamError]:
        if not self._backend.is_up:
            return Failure(ConnectError(self._backend.name, "refused"))
        return self._backend.order(order)


class SimServiceClient:
    """A node's client of a plain service."""

    def __init__(
        self, backend: Backend, during_call: Callable[[], None]
    ) -> None:
        self._backend = backend
        self._during_call = during_call

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        return None

    @property
    def stats(self) -> ClientStats:
        return FakeEngineClient(self._backend.name).stats

    def call(
        self,
        request: ServiceRequest,
        cancellation: Cancellation | None = None,
    ) -> Result[ServiceResponse, UpstreamError]:
        backend = self._backend
        if not backend.is_up:
            return Failure(ConnectError(backend.name, "refused"))
        if backend.refuse_next:
            backend.refuse_next = False
            return Failure(RefusedError(backend.name, "refused"))
        run = backend.begin()
        tag = json.loads(request.body)["tag"] if request.body else "look-up"
        backend.oracle.service_run(
            backend.clock.now_ms(),
            backend.name,
            backend.node.failure_domain,
            tag,
            request.method == "GET",
        )
        # Lets other events occur while the call runs.
        self._during_call()
        backend.end(run, succeeded=True)
        if backend.lose_reply:
            backend.lose_reply = False
            return Failure(IncompleteReplyError(backend.name, "response lost"))
        body = f"done {tag}".encode()
        return Success(ServiceResponse(status=200, body=body, headers=()))

    def load_report(
        self, *, deadline_ms: int
    ) -> Result[LoadReport, UpstreamError]:
        if not self._backend.is_up:
            return Failure(ConnectError(self._backend.name, "refused"))
        return Success(self._backend.report())
