"""The serving layer on fakes, with a clock that advances as runs wait."""

import random
import threading
from collections.abc import Callable, Sequence

from returns.result import Failure, Result, Success

from trefoilpitch.bundle import (
    Bundle,
    Model,
    ModelVersion,
    Operation,
    Pool,
    Service,
    Task,
    Upstream,
    UpstreamKind,
    VersionRef,
    Workspace,
)
from trefoilpitch.cascade import (
    Candidate,
    CascadePlan,
    CascadePolicy,
    CascadeStep,
    Target,
)
from trefoilpitch.clock import ManualClock
from trefoilpitch.coldstart import Admission, AdmissionKind, WorkOutcome
from trefoilpitch.configuration import Configuration
from trefoilpitch.identity import Session
from trefoilpitch.ledger import Bill
from trefoilpitch.retries import RetryBudget
from trefoilpitch.routing import RoutingTable, routing_table
from trefoilpitch.serving import (
    CallHandler,
    CallRequest,
    CallResponse,
    CascadePlanner,
    ChatHandler,
    ChatRequest,
    ChatResponse,
    Dispatcher,
    PrefixCaches,
    SlotQueue,
    UpstreamDirectory,
    VersionMonitor,
)
from trefoilpitch.upstreams import (
    Cancellation,
    Chunk,
    EngineClient,
    FakeEngineClient,
    FakeServiceClient,
    Finish,
    LoadReport,
    Message,
    ServiceClient,
    ServiceRequest,
    ServiceResponse,
    UpstreamError,
)
from trefoilpitch.web import Problem

CHEAP = VersionRef("cheap", "1")
EXPENSIVE = VersionRef("expensive", "1")
WORKSPACE = Workspace(
    name="suva-parish",
    token_sha256="",
    allowed=("cheap@*", "expensive@*"),
    tasks=("tag",),
    services=("loans",),
)


def completion_items(
    *texts: str, confidence: float = 0.9
) -> tuple[Chunk | Finish, ...]:
    chunks = tuple(
        Chunk(index=index, text=text, tokens=1)
        for index, text in enumerate(texts)
    )
    finish = Finish(
        finish_reason="stop",
        prompt_tokens=10,
        output_tokens=len(texts),
        confidence=confidence,
    )
    return (*chunks, finish)


def _bundle() -> Bundle:
    versions = (ModelVersion(name="1", prompt_cost_nano=1, output_cost_nano=2),)
    engines = tuple(
        Upstream(
            name=name, address="", failure_domain=name[-1], capacity=capacity
        )
        for name, capacity in (("engine-a", 2), ("engine-b", 2))
    )
    workers = tuple(
        Upstream(name=name, address="", failure_domain=name[-1], capacity=2)
        for name in ("worker-a", "worker-b")
    )
    return Bundle(
        name="test",
        version=1,
        failure_domains=("a", "b"),
        models=tuple(
            Model(name=name, versions=versions, default_version="1")
            for name in ("cheap", "expensive")
        ),
        pools=(
            Pool(
                name="engines",
                kind=UpstreamKind.ENGINE,
                serves=("cheap@1", "expensive@1"),
                upstreams=engines,
            ),
            Pool(name="desk", kind=UpstreamKind.SERVICE, upstreams=workers),
        ),
        tasks=(
            Task(
                name="tag", cascade=("cheap", "expensive"), quality_target=0.9
            ),
        ),
        services=(
            Service(
                name="loans",
                pool="desk",
                call_cost_nano=7,
                operations=(
                    Operation(
                        name="create-loan", method="POST", idempotent=False
                    ),
                    Operation(name="look-up", method="GET", idempotent=True),
                ),
            ),
        ),
        workspaces=(WORKSPACE,),
    )


class _FixedPolicy(CascadePolicy):
    """Runs the versions in order and accepts by a fixed threshold."""

    def plan(
        self,
        workspace: str,
        task: str,
        candidates: Sequence[Candidate],
        target: Target,
        rng: random.Random,
        *,
        max_steps: int = 2,
    ) -> CascadePlan:
        del target, rng, max_steps
        steps = tuple(
            CascadeStep(version=one.version, accept_threshold=0.5)
            for one in candidates
        )
        return CascadePlan(workspace=workspace, task=task, steps=steps)


class _ClockAdvancingWaiter:
    """Advances the clock instead of waiting, and runs one action per wait."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.wait_actions: list[Callable[[], None]] = []
        self.on_advance: Callable[[], None] = lambda: None

    def sleep(self, duration_ms: int) -> None:
        self._clock.advance(duration_ms)

    def wait(self, changed: threading.Condition, timeout_ms: int) -> None:
        self._clock.advance(timeout_ms)
        self.on_advance()
        if self.wait_actions:
            changed.release()
            try:
                self.wait_actions.pop(0)()
            finally:
                changed.acquire()


class _Gates:
    """Admits all work except to the upstreams that a test marks as cold."""

    def __init__(self) -> None:
        self.cold: set[str] = set()
        self.demanded: list[str] = []
        self.may_run: list[bool] = []
        self.outcomes: list[WorkOutcome] = []
        self.warm_up_requested: set[str] = set()

    def allowance(self, upstream: str) -> int | None:
        return 0 if upstream in self.cold else None

    def admit(self, upstream: str) -> Admission:
        kind = AdmissionKind.WARM
        if upstream in self.cold:
            kind = AdmissionKind.WAIT
        return Admission(
            upstream=upstream,
            kind=kind,
            upstream_incarnation=f"{upstream}-1",
        )

    def ended(
        self,
        admission: Admission,
        outcome: WorkOutcome,
        latency_ms: int | None,
        may_run: bool,
    ) -> None:
        del admission, latency_ms
        self.outcomes.append(outcome)
        self.may_run.append(may_run)

    def demand(self, upstream: str, change: int) -> None:
        if change > 0:
            self.demanded.append(upstream)

    def request_warm_up(self, upstream: str) -> None:
        self.warm_up_requested.add(upstream)

    def limit(self, upstream: Upstream) -> int:
        return upstream.capacity

    def finished(
        self,
        upstream: Upstream,
        outcome: WorkOutcome,
        latency_ms: int | None,
        in_flight: int,
    ) -> None:
        del upstream, outcome, latency_ms, in_flight


class ServingHarness:
    """Two engines, two workers of a plain service and one workspace."""

    def __init__(self, max_waiting: int = 8) -> None:
        self.clock = ManualClock(1_000)
        self.waiter = _ClockAdvancingWaiter(self.clock)
        self.gates = _Gates()
        self.engines = {
            name: FakeEngineClient(name) for name in ("engine-a", "engine-b")
        }
        self.call_results: list[Result[ServiceResponse, UpstreamError]] = []
        self.calls: list[str] = []
        self.on_call: Callable[[], None] = lambda: None
        self.called_incarnations: list[str] = []
        self.bills: list[Bill] = []
        self.configuration = Configuration(revision=1, bundle=_bundle())
        self.on_table: Callable[[], None] | None = None
        self.queue = SlotQueue(self.clock, self.waiter, max_waiting)
        self.directory = UpstreamDirectory(
            self.clock, self, self.gates, self.gates
        )
        self.directory.add_release_listener(self.queue.observe)
        self.directory.apply(self.table())
        self.mark_upstreams_polled()
        self.waiter.on_advance = self.mark_upstreams_polled
        dispatcher = Dispatcher(
            configuration=self,
            directory=self.directory,
            queue=self.queue,
            waiter=self.waiter,
            budget=RetryBudget(),
            clock=self.clock,
            rng=random.Random(7),
            local_domain="a",
        )
        planner = CascadePlanner(
            _FixedPolicy("n"), random.Random(7), self.clock
        )
        self.version_monitor = VersionMonitor(
            planner, self.clock, random.Random(7), 1.0
        )
        self.prefixes = PrefixCaches()
        self.chat = ChatHandler(
            configuration=self,
            dispatcher=dispatcher,
            planner=planner,
            bills=self,
            clock=self.clock,
            outcomes=self.version_monitor,
            prefixes=self.prefixes,
        )
        self.call_handler = CallHandler(
            configuration=self,
            dispatcher=dispatcher,
            bills=self,
            clock=self.clock,
        )

    def mark_upstreams_polled(self) -> None:
        for tracked in self.directory.tracked():
            self.directory.record_report_failure(tracked.upstream.name)

    def report_versions(self, engine: str, *versions: VersionRef) -> None:
        report = LoadReport(
            upstream=engine,
            incarnation="a",
            running=0,
            waiting=0,
            capacity=2,
            warm=True,
            leaving=False,
            cached_prefixes=frozenset(),
            versions=frozenset(versions),
            reported_ms=0,
        )
        self.directory.record_report(engine, report)

    def table(self) -> RoutingTable:
        on_table, self.on_table = self.on_table, None
        table = routing_table(self.configuration)
        if on_table is not None:
            on_table()
        return table

    def engine(self, upstream: Upstream) -> EngineClient:
        return self.engines[upstream.name]

    def service(self, upstream: Upstream) -> ServiceClient:
        def respond(
            request: ServiceRequest,
        ) -> Result[ServiceResponse, UpstreamError]:
            self.calls.append(f"{upstream.name} {request.path}")
            self.on_call()
            self.called_incarnations.append(request.upstream_incarnation)
            return self.call_results.pop(0)

        return FakeServiceClient(respond)

    def record(self, bill: Bill) -> None:
        self.bills.append(bill)

    def accepts_work(self) -> bool:
        return True

    def send_chat(
        self, cancellation: Cancellation | None = None
    ) -> Result[ChatResponse, Problem]:
        request = ChatRequest(
            request_id="r1",
            workspace=WORKSPACE,
            task="tag",
            messages=(Message(role="user", content="hymn"),),
            session=Session(workspace=WORKSPACE.name, seed="s"),
            max_output_tokens=None,
            stream=True,
        )
        return self.chat.respond(request, cancellation or Cancellation())

    def call(
        self,
        operation: str,
        method: str,
        cancellation: Cancellation | None = None,
    ) -> Result[CallResponse, Problem]:
        request = CallRequest(
            request_id="c1",
            workspace=WORKSPACE,
            service="loans",
            operation=operation,
            method=method,
            path=f"/{operation}",
            body=b"{}",
            content_type="application/json",
        )
        found = self.call_handler.operation(request)
        if not isinstance(found, Success):
            return Failure(found.failure())
        return self.call_handler.call(
            request, found.unwrap(), cancellation or Cancellation()
        )
