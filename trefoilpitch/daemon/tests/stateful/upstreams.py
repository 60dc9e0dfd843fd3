"""Engines and plain services in memory that tell the oracle what they run."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from types import TracebackType
from typing import Self

from returns.result import Failure, Result, Success

from trefoilpitch.bundle import Upstream, VersionRef
from trefoilpitch.clock import Clock
from trefoilpitch.daemon.tests.stateful.oracle import Oracle
from trefoilpitch.upstreams import (
    AnswerGoneError,
    AnswerStream,
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
    OrderReply,
    RefusedError,
    ServiceReply,
    ServiceRequest,
    StaleFencingError,
    UpstreamError,
)

PARTS = 3


def expected_parts(tag: str, version: str) -> list[str]:
    return [f"{tag}|{version}|{part};" for part in range(PARTS)]


class Backend:
    """One upstream: what it bears, what it runs, how it fails."""

    def __init__(self, node: Upstream, clock: Clock, oracle: Oracle) -> None:
        self.node = node
        self.clock = clock
        self.oracle = oracle
        self.is_up = True
        self.is_leaving = False
        self.generation = 1
        self.successes = 0
        self.running: set[int] = set()
        self.held: dict[str, CompletionRequest] = {}
        self.next_run = 0
        # What it has loaded; None if it does not tell and takes any work.
        self.versions: set[VersionRef] | None = None
        self.orders: list[Order] = []
        # Faults, each used up once.
        self.cut_after: int | None = None
        self.lose_reply = False
        self.refuse_next = False
        self.cross_next = False
        self.order_replies_to_lose = 0

    @property
    def name(self) -> str:
        return self.node.name

    @property
    def bears(self) -> int:
        return min(self.node.capacity, self.node.cold_capacity + self.successes)

    def restart(self) -> None:
        self.generation += 1
        self.successes = 0
        self.running.clear()
        self.held.clear()

    def has_loaded(self, version: VersionRef) -> bool:
        return self.versions is None or version in self.versions

    def order(self, order: Order) -> Result[OrderReply, UpstreamError]:
        """Carries an order out; a load takes no time."""
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
        if self.order_replies_to_lose:
            self.order_replies_to_lose -= 1
            return Failure(IncompleteReplyError(self.name, "reply lost"))
        reply = OrderReply(versions=frozenset(self.versions), role="")
        return Success(reply)

    def begin(self) -> int:
        self.next_run += 1
        self.running.add(self.next_run)
        self.oracle.load(self.name, len(self.running), self.bears)
        return self.next_run

    def end(self, run: int, succeeded: bool) -> None:
        if run in self.running:
            self.running.discard(run)
            self.successes += succeeded

    def report(self) -> LoadReport:
        return LoadReport(
            upstream=self.name,
            incarnation=f"{self.name}-{self.generation}",
            running=len(self.running),
            waiting=0,
            capacity=self.node.capacity,
            warm=self.bears >= self.node.capacity,
            leaving=self.is_leaving,
            cached_prefixes=frozenset(),
            versions=None
            if self.versions is None
            else frozenset(self.versions),
            reported_ms=self.clock.wall_ms(),
        )


class EngineStream:
    """An answer that an engine generates as it is read."""

    def __init__(
        self, backend: Backend, request: CompletionRequest, first: int
    ) -> None:
        self._backend = backend
        self._request = request
        self._next = first
        self._generation = backend.generation
        self._run = backend.begin()
        self._cut_after, backend.cut_after = backend.cut_after, None

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._backend.end(self._run, succeeded=False)

    def cancel(self) -> None:
        self._backend.end(self._run, succeeded=False)

    def __iter__(self) -> Iterator[Chunk | Finish]:
        tag = self._request.messages[0].content
        parts = expected_parts(tag, str(self._request.version))
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
        gone = not backend.is_up or backend.generation != self._generation
        cut = self._cut_after == 0
        if self._cut_after is not None:
            self._cut_after -= 1
        if gone or cut:
            backend.end(self._run, succeeded=False)
            raise IncompleteReplyError(backend.name, "cut")


class EngineLink(FakeEngineClient):
    """One node's client of an engine."""

    def __init__(self, backend: Backend) -> None:
        super().__init__(backend.name)
        self._backend = backend

    def start(
        self,
        request: CompletionRequest,
        cancellation: Cancellation | None = None,
    ) -> Result[AnswerStream, UpstreamError]:
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
        if backend.cross_next:
            backend.cross_next = False
            return Failure(MismatchedReplyError(backend.name, "crossed"))
        backend.held[request.request_id] = request
        return Success(EngineStream(backend, request, 0))

    def resume(
        self,
        request_id: str,
        version: VersionRef,
        *,
        after_index: int,
        deadline_ms: int,
    ) -> Result[AnswerStream, UpstreamError]:
        backend = self._backend
        held = backend.held.get(request_id)
        if not backend.is_up or held is None:
            return Failure(AnswerGoneError(ConnectError(backend.name, "gone")))
        return Success(EngineStream(backend, held, after_index + 1))

    def load_report(
        self, *, deadline_ms: int
    ) -> Result[LoadReport, UpstreamError]:
        if not self._backend.is_up:
            return Failure(ConnectError(self._backend.name, "refused"))
        return Success(self._backend.report())

    def send_order(
        self, order: Order, *, deadline_ms: int
    ) -> Result[OrderReply, UpstreamError]:
        if not self._backend.is_up:
            return Failure(ConnectError(self._backend.name, "refused"))
        return self._backend.order(order)


class ServiceLink:
    """One node's client of a plain service."""

    def __init__(self, backend: Backend, meanwhile: Callable[[], None]) -> None:
        self._backend = backend
        self._meanwhile = meanwhile

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
    ) -> Result[ServiceReply, UpstreamError]:
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
        # Other things happen while the call runs.
        self._meanwhile()
        backend.end(run, succeeded=True)
        if backend.lose_reply:
            backend.lose_reply = False
            return Failure(IncompleteReplyError(backend.name, "reply lost"))
        body = f"done {tag}".encode()
        return Success(ServiceReply(status=200, body=body, headers=()))

    def load_report(
        self, *, deadline_ms: int
    ) -> Result[LoadReport, UpstreamError]:
        if not self._backend.is_up:
            return Failure(ConnectError(self._backend.name, "refused"))
        return Success(self._backend.report())
