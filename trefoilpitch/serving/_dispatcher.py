"""Finds a place for a request and tries again where that is safe."""

from __future__ import annotations

import dataclasses
import random
import threading
from collections.abc import Callable, Mapping
from typing import Generic, TypeVar

from returns.result import Failure, Result, Success

from trefoilpitch.bundle import Priority, Upstream, VersionRef
from trefoilpitch.clock import Clock
from trefoilpitch.limits import Outages, outage_retry_after_ms
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
    Revised,
    RoutingError,
    RoutingTable,
    Target,
    UpstreamState,
    choose_upstream,
    eligible_upstreams,
    loaded_factors,
)
from trefoilpitch.serving._directory import Slot, UpstreamDirectory
from trefoilpitch.serving._failure_log import FailureLog
from trefoilpitch.serving._nodes import ConfigurationSource
from trefoilpitch.serving._problems import (
    caller_gone,
    failure_kind,
    failure_problem,
    is_temporary,
    outage_problem,
    routing_problem,
)
from trefoilpitch.serving._queue import Parking, PlaceQueue
from trefoilpitch.upstreams import (
    Cancellation,
    CancelledError,
    UpstreamError,
)
from trefoilpitch.web import Outcome, Problem

_MAX_REVISIONS = 16

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Errand:
    """One run that the dispatcher finds an upstream for."""

    # The request that it belongs to.
    request_id: str
    # The workspace that asked.
    workspace: str
    # What it runs on.
    target: Target
    # The task; None for a plain service.
    task: str | None
    # Whether running it twice is harmless.
    idempotent: bool
    # How urgently it is served.
    priority: Priority
    # Its workspace's share when there are too few places.
    weight: int
    # Monotonic time by which it must have ended.
    deadline_ms: int
    # Upstreams believed to hold a useful prefix in their cache.
    cache_holders: frozenset[str] = frozenset()
    # Tells when nobody waits for it any more; no try starts after that.
    cancellation: Cancellation = dataclasses.field(default_factory=Cancellation)


@dataclasses.dataclass(frozen=True, slots=True)
class Placed(Generic[T]):
    """A run that has begun on an upstream."""

    # The place that it takes up; the receiver closes it.
    slot: Slot
    # What the start returned.
    value: T


class Dispatcher:
    """Places runs on upstreams.

    Args:
        configuration: The newest configuration.
        directory: The upstreams that the node follows.
        queue: Where runs wait for a place.
        parking: Lets runs wait before another try.
        budget: Pays for second tries.
        clock: Measures deadlines.
        rng: Source of random numbers.
        local_domain: The node's own failure domain.
    """

    def __init__(
        self,
        *,
        configuration: ConfigurationSource,
        directory: UpstreamDirectory,
        queue: PlaceQueue,
        parking: Parking,
        budget: RetryBudget,
        clock: Clock,
        rng: random.Random,
        local_domain: str,
    ) -> None:
        self._configuration = configuration
        self._directory = directory
        self._queue = queue
        self._parking = parking
        self._budget = budget
        self._clock = clock
        self._rng = rng
        self._local_domain = local_domain
        self._outages = Outages()
        self._failure_log = FailureLog(clock)
        self._lock = threading.Lock()

    def run(
        self,
        errand: Errand,
        start: Callable[[Slot], Result[T, UpstreamError]],
    ) -> Result[Placed[T], Problem]:
        """Starts a run, on another upstream where a try fails safely.

        Args:
            errand: The run.
            start: Starts it on the upstream of a slot; called once a try.

        Returns:
            The started run, or the final answer to the caller.
        """
        failures: list[FailureKind] = []
        excluded: set[str] = set()
        with self._lock:
            self._budget.record_first_attempt()
        while not errand.cancellation.cancelled:
            placed = self._place(errand, excluded)
            if not isinstance(placed, Success):
                return Failure(_with_history(placed.failure(), failures))
            slot = placed.unwrap()
            started = _start(start, slot)
            if isinstance(started, Success):
                return Success(Placed(slot, started.unwrap()))
            error = started.failure()
            slot.fail(error)
            slot.close()
            self._failure_log.write(errand.request_id, error)
            excluded.add(error.upstream)
            failures.append(failure_kind(error))
            if isinstance(error, CancelledError):
                break
            problem = self._consider_retry(errand, failures, error)
            if problem is not None:
                return Failure(problem)
        gone = caller_gone(errand.request_id, Outcome.NOT_RUN)
        return Failure(_with_history(gone, failures))

    def loaded_factors(self, table: RoutingTable) -> Mapping[VersionRef, float]:
        """Bounds what roll-outs get by the engines that are ready for them."""
        if not table.rollouts:
            return {}
        return loaded_factors(table, self._directory.states())

    def _consider_retry(
        self, errand: Errand, failures: list[FailureKind], error: UpstreamError
    ) -> Problem | None:
        request = RetryRequest(
            idempotent=errand.idempotent,
            deadline_ms=errand.deadline_ms,
            failures=tuple(failures),
        )
        now_ms = self._clock.now_ms()
        with self._lock:
            decision = decide_retry(request, self._budget, now_ms, self._rng)
        if isinstance(decision, NoRetry):
            execution = decision.execution
            if error.execution is Execution.RAN:
                execution = Execution.RAN
            return failure_problem(error, execution, errand.request_id)
        self._wait_until(decision)
        return None

    def _wait_until(self, decision: Retry) -> None:
        wait_ms = decision.at_ms - self._clock.now_ms()
        if wait_ms > 0:
            self._parking.pause(wait_ms)

    def _place(
        self, errand: Errand, excluded: set[str]
    ) -> Result[Slot, Problem]:
        with (
            self._queue.ticket(errand) as ticket,
            self._directory.demand() as ask,
        ):
            while True:
                if ticket.look():
                    attempt = self._try_place(errand, excluded)
                    if isinstance(attempt, Success):
                        return Success(attempt.unwrap())
                    error = attempt.failure()
                    if not is_temporary(error):
                        problem = routing_problem(error, errand.request_id)
                        return Failure(problem)
                candidates = self._candidates(errand)
                ask(tuple(candidates))
                refusal = self._outage_refusal(errand, candidates)
                if refusal is None:
                    places = sum(candidates.values())
                    refusal = ticket.wait(places)
                if refusal is not None:
                    return Failure(refusal)

    def _candidates(self, errand: Errand) -> dict[str, int]:
        """Returns the reachable upstreams, with the runs each serves."""
        states = self._directory.states()
        return {
            upstream.name: states[upstream.name].concurrency_limit
            or upstream.capacity
            for upstream in self._eligible(errand, states)
            if states[upstream.name].unreachable_since_ms is None
        }

    def _eligible(
        self, errand: Errand, states: Mapping[str, UpstreamState]
    ) -> tuple[Upstream, ...]:
        return eligible_upstreams(
            self._configuration.table(), errand.target, states
        )

    def _outage_refusal(
        self, errand: Errand, candidates: Mapping[str, int]
    ) -> Problem | None:
        """Refuses a run that no upstream is likely to take in time."""
        now_ms = self._clock.now_ms()
        if candidates:
            with self._lock:
                self._outages.ended(errand.target)
            return None
        states = self._directory.states()
        lost_ms = [
            states[upstream.name].unreachable_since_ms or now_ms
            for upstream in self._eligible(errand, states)
        ]
        with self._lock:
            outage_ms = self._outages.met(
                errand.target, max(lost_ms, default=None), now_ms
            )
        retry_after_ms = outage_retry_after_ms(outage_ms)
        if retry_after_ms is None:
            return None
        return outage_problem(errand.request_id, retry_after_ms)

    def _try_place(
        self, errand: Errand, excluded: set[str]
    ) -> Result[Slot, RoutingError]:
        for _ in range(_MAX_REVISIONS):
            table = self._configuration.table()
            chosen = self._choose(table, errand, excluded)
            if not isinstance(chosen, Success):
                return Failure(chosen.failure())
            # The newest configuration decides, also when it came after the
            # choice.
            newest = self._configuration.table()
            outcome = self._directory.acquire(chosen.unwrap(), newest)
            if not isinstance(outcome, Revised):
                return Success(outcome)
        return Failure(RoutingError("the configuration keeps changing"))

    def _choose(
        self, table: RoutingTable, errand: Errand, excluded: set[str]
    ) -> Result[Decision, RoutingError]:
        states = self._directory.states()
        if any(state.cold for state in states.values()):
            eligible = eligible_upstreams(table, errand.target, states)
            cold = [one.name for one in eligible if states[one.name].cold]
            self._directory.invite(cold)
        with self._lock:
            chosen = choose_upstream(
                table,
                errand.target,
                states,
                self._rng,
                local_domain=self._local_domain,
                cache_holders=errand.cache_holders,
                excluded=excluded,
            )
        return chosen.map(
            lambda upstream: Decision(
                workspace=errand.workspace,
                target=errand.target,
                upstream=upstream.name,
                incarnation=states[upstream.name].incarnation,
                revision=table.revision,
                task=errand.task,
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


def _with_history(problem: Problem, failures: list[FailureKind]) -> Problem:
    """Makes a refusal say what the tries before it prove."""
    executions = tuple(classify_failure(kind) for kind in failures)
    execution = combined_execution(executions)
    if execution is Execution.NOT_RUN:
        return problem
    outcome = Outcome.UNKNOWN
    if execution is Execution.RAN:
        outcome = Outcome.FAILED
    return dataclasses.replace(problem, outcome=outcome)
