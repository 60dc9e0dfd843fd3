"""Dispatches runs to upstreams and retries them where that is safe."""

from __future__ import annotations

import dataclasses
import random
import threading
from collections.abc import Callable, Mapping
from typing import Generic, TypeVar

from returns.result import Failure, Result, Success

from trefoilpitch.bundle import Priority, Upstream, VersionRef
from trefoilpitch.clock import Clock
from trefoilpitch.limits import OutageTracker, outage_retry_after_ms
from trefoilpitch.retries import (
    Execution,
    FailureKind,
    NoRetry,
    Retry,
    RetryBudget,
    classify_failure,
    combined_execution,
    decide_retry,
)
from trefoilpitch.retries import Request as RetryRequest
from trefoilpitch.routing import (
    Decision,
    Invalidated,
    RoutingError,
    RoutingTable,
    Target,
    UpstreamState,
    choose_upstream,
    eligible_upstreams,
    readiness_factors,
)
from trefoilpitch.serving._directory import Slot, UpstreamDirectory
from trefoilpitch.serving._failure_log import FailureLog
from trefoilpitch.serving._problems import (
    caller_gone_problem,
    failure_kind,
    failure_problem,
    is_transient,
    outage_problem,
    routing_problem,
)
from trefoilpitch.serving._queue import SlotQueue, Waiter
from trefoilpitch.serving._types import ConfigurationSource
from trefoilpitch.upstreams import (
    Cancellation,
    CancelledError,
    UpstreamError,
)
from trefoilpitch.web import Outcome, Problem

# A choice can be outdated by the time its slot is to be acquired. After this
# many such choices in a row the run is refused.
_MAX_OUTDATED_CHOICES = 16

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DispatchRequest:
    """A run to be dispatched: a plan's step or a call to a plain service."""

    # Identifier of the caller's request.
    request_id: str
    workspace: str
    # The model version or the service's operation to run.
    target: Target
    # None for a plain service.
    task: str | None
    # Whether the run may be repeated although it may have had its effect.
    idempotent: bool
    priority: Priority
    # Share of the workspace, relative to others, when slots are scarce.
    weight: int
    # Monotonic time by which the run must have ended.
    deadline_ms: int
    # Upstreams that have the prompt's prefix cached, as last known.
    cache_holders: frozenset[str] = frozenset()
    # Cancelled when the caller disconnects; no attempt starts after that.
    cancellation: Cancellation = dataclasses.field(default_factory=Cancellation)


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatched(Generic[T]):
    """A run that has started on an upstream."""

    # The slot that the run occupies; the receiver must close it.
    slot: Slot
    # What the start function returned.
    value: T


class Dispatcher:
    """Chooses upstreams for runs and starts the runs on them.

    Args:
        configuration: The source of the newest known configuration.
        directory: The upstreams that the node tracks.
        queue: Holds the runs that wait for a slot.
        waiter: Delays retries.
        budget: Bounds the ratio of retries to first attempts.
        clock: Used for deadlines and delays.
        rng: Source of random numbers.
        local_domain: The node's own failure domain.
    """

    def __init__(
        self,
        *,
        configuration: ConfigurationSource,
        directory: UpstreamDirectory,
        queue: SlotQueue,
        waiter: Waiter,
        budget: RetryBudget,
        clock: Clock,
        rng: random.Random,
        local_domain: str,
    ) -> None:
        self._configuration = configuration
        self._directory = directory
        self._queue = queue
        self._waiter = waiter
        self._budget = budget
        self._clock = clock
        self._rng = rng
        self._local_domain = local_domain
        self._outages = OutageTracker()
        self._failure_log = FailureLog(clock)
        self._lock = threading.Lock()

    def run(
        self,
        request: DispatchRequest,
        start: Callable[[Slot], Result[T, UpstreamError]],
    ) -> Result[Dispatched[T], Problem]:
        """Starts a run, with retries on other upstreams where that is safe.

        Args:
            request: The run.
            start: Starts the run on the upstream of a slot; called once per
                attempt.

        Returns:
            The started run, or the problem to report to the caller.
        """
        failures: list[FailureKind] = []
        excluded: set[str] = set()
        with self._lock:
            self._budget.record_first_attempt()
        while not request.cancellation.cancelled:
            acquired = self._acquire_slot(request, excluded)
            if not isinstance(acquired, Success):
                return Failure(
                    _with_previous_failures(acquired.failure(), failures)
                )
            slot = acquired.unwrap()
            started = _start(start, slot)
            if isinstance(started, Success):
                return Success(Dispatched(slot, started.unwrap()))
            error = started.failure()
            slot.fail(error)
            slot.close()
            self._failure_log.write(request.request_id, error)
            excluded.add(error.upstream)
            failures.append(failure_kind(error))
            if isinstance(error, CancelledError):
                break
            problem = self._retry_or_fail(request, failures, error)
            if problem is not None:
                return Failure(problem)
        cancelled = caller_gone_problem(request.request_id, Outcome.NOT_RUN)
        return Failure(_with_previous_failures(cancelled, failures))

    def readiness_factors(
        self, table: RoutingTable
    ) -> Mapping[VersionRef, float]:
        """Returns bounds on the traffic weights of versions being rolled out.

        They follow from the share of engines that have loaded the version.
        """
        if not table.rollouts:
            return {}
        return readiness_factors(table, self._directory.states())

    def _retry_or_fail(
        self,
        request: DispatchRequest,
        failures: list[FailureKind],
        error: UpstreamError,
    ) -> Problem | None:
        """Waits until the next attempt may start.

        Returns:
            None if there is another attempt, otherwise the problem to report.
        """
        retry_request = RetryRequest(
            idempotent=request.idempotent,
            deadline_ms=request.deadline_ms,
            failures=tuple(failures),
        )
        now_ms = self._clock.now_ms()
        with self._lock:
            decision = decide_retry(
                retry_request, self._budget, now_ms, self._rng
            )
        if isinstance(decision, NoRetry):
            execution = decision.execution
            if error.execution is Execution.RAN:
                execution = Execution.RAN
            return failure_problem(error, execution, request.request_id)
        self._wait_before_retry(decision)
        return None

    def _wait_before_retry(self, decision: Retry) -> None:
        wait_ms = decision.at_ms - self._clock.now_ms()
        if wait_ms > 0:
            self._waiter.sleep(wait_ms)

    def _acquire_slot(
        self, request: DispatchRequest, excluded: set[str]
    ) -> Result[Slot, Problem]:
        with (
            self._queue.ticket(request) as ticket,
            self._directory.demand() as register_demand,
        ):
            while True:
                if ticket.may_try_acquire():
                    attempt = self._try_acquire_slot(request, excluded)
                    if isinstance(attempt, Success):
                        return Success(attempt.unwrap())
                    error = attempt.failure()
                    if not is_transient(error):
                        problem = routing_problem(error, request.request_id)
                        return Failure(problem)
                candidates = self._candidates(request)
                register_demand(tuple(candidates))
                refusal = self._outage_refusal(request, candidates)
                if refusal is None:
                    concurrency = sum(candidates.values())
                    refusal = ticket.wait(concurrency)
                if refusal is not None:
                    return Failure(refusal)

    def _candidates(self, request: DispatchRequest) -> dict[str, int]:
        """Returns the concurrency limits of the reachable upstreams."""
        states = self._directory.states()
        return {
            upstream.name: states[upstream.name].concurrency_limit
            or upstream.capacity
            for upstream in self._eligible(request, states)
            if states[upstream.name].unreachable_since_ms is None
        }

    def _eligible(
        self, request: DispatchRequest, states: Mapping[str, UpstreamState]
    ) -> tuple[Upstream, ...]:
        return eligible_upstreams(
            self._configuration.table(), request.target, states
        )

    def _outage_refusal(
        self, request: DispatchRequest, candidates: Mapping[str, int]
    ) -> Problem | None:
        """Returns a refusal if no upstream has been available for some time.

        At the start of an outage a run waits instead.
        """
        now_ms = self._clock.now_ms()
        if candidates:
            with self._lock:
                self._outages.record_reachable(request.target)
            return None
        states = self._directory.states()
        unreachable_ms = [
            states[upstream.name].unreachable_since_ms or now_ms
            for upstream in self._eligible(request, states)
        ]
        with self._lock:
            outage_ms = self._outages.record_unreachable(
                request.target, max(unreachable_ms, default=None), now_ms
            )
        retry_after_ms = outage_retry_after_ms(outage_ms)
        if retry_after_ms is None:
            return None
        return outage_problem(request.request_id, retry_after_ms)

    def _try_acquire_slot(
        self, request: DispatchRequest, excluded: set[str]
    ) -> Result[Slot, RoutingError]:
        for _ in range(_MAX_OUTDATED_CHOICES):
            table = self._configuration.table()
            chosen = self._choose(table, request, excluded)
            if not isinstance(chosen, Success):
                return Failure(chosen.failure())
            # The choice must also conform to a configuration that has been
            # applied since.
            newest = self._configuration.table()
            outcome = self._directory.acquire(chosen.unwrap(), newest)
            if not isinstance(outcome, Invalidated):
                return Success(outcome)
        return Failure(RoutingError("the configuration keeps changing"))

    def _choose(
        self, table: RoutingTable, request: DispatchRequest, excluded: set[str]
    ) -> Result[Decision, RoutingError]:
        states = self._directory.states()
        if any(state.cold for state in states.values()):
            eligible = eligible_upstreams(table, request.target, states)
            cold = [one.name for one in eligible if states[one.name].cold]
            self._directory.request_warm_up(cold)
        with self._lock:
            chosen = choose_upstream(
                table,
                request.target,
                states,
                self._rng,
                local_domain=self._local_domain,
                cache_holders=request.cache_holders,
                excluded=excluded,
            )
        return chosen.map(
            lambda upstream: Decision(
                workspace=request.workspace,
                target=request.target,
                upstream=upstream.name,
                incarnation=states[upstream.name].incarnation,
                revision=table.revision,
                task=request.task,
            )
        )


def _start(
    start: Callable[[Slot], Result[T, UpstreamError]], slot: Slot
) -> Result[T, UpstreamError]:
    try:
        return start(slot)
    except BaseException:
        slot.close()
        raise


def _with_previous_failures(
    problem: Problem, failures: list[FailureKind]
) -> Problem:
    """Adjusts a problem's outcome to what the previous attempts prove."""
    executions = tuple(classify_failure(kind) for kind in failures)
    execution = combined_execution(executions)
    if execution is Execution.NOT_RUN:
        return problem
    outcome = Outcome.UNKNOWN
    if execution is Execution.RAN:
        outcome = Outcome.FAILED
    return dataclasses.replace(problem, outcome=outcome)
