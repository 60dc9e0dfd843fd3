"""Retry decisions and the timeouts of attempts.

Load pattern: upstreams fail, hang or lose responses, while every retry adds
load to the fleet and draws on a budget that all daemons share.
"""

from __future__ import annotations

import dataclasses

from trefoilpitch.fleet import OperationKind, Route
from trefoilpitch.retries import (
    Execution,
    FailureKind,
    StopReason,
    classify_failure,
    combined_execution,
)

# Connections within a region open in a few milliseconds; a longer wait means a
# lost packet or a dead machine.
_CONNECT_TIMEOUT_MS = 300.0
# The same if the request can be relayed instead.
_RELAYABLE_TIMEOUT_MS = 150.0
# Multiple of the route's latency objective to wait for the first event of a
# stream; the rest of the objective is left for a retry at another upstream.
_FIRST_EVENT_TIMEOUT_FACTOR = 0.6
# The same for plain responses. It is above 1 because their usual latency is
# close to the objective.
_PLAIN_TIMEOUT_FACTOR = 1.6
# Multiple of the expected latency after which a response is considered lost.
_EXPECTED_LATENCY_FACTOR = 4.0
# Multiple of the route's maximum event gap after which a stream is resumed at
# another upstream, if there is one.
_STALL_GAP_FACTOR = 0.8
# A request is refused after this many attempts that did not run, or this many
# at upstreams that are gone; these take a few milliseconds each.
_MAX_NOT_RUN = 5
_MAX_GONE = 16
# Delay before the next attempt of a response in progress that an upstream has
# refused, and the limit up to which it doubles.
_REFUSAL_DELAY_MS = 50
_MAX_REFUSAL_DELAY_MS = 1_000
_CUT = frozenset({FailureKind.CONNECTION_LOST, FailureKind.RESPONSE_TRUNCATED})
_GONE = frozenset({FailureKind.CONNECT_REFUSED, FailureKind.MISDIRECTED})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempts:
    """The failed and replaced attempts of a request so far."""

    # Failures, oldest first.
    failures: tuple[FailureKind, ...] = ()
    # Attempts whose response was dropped in favour of another model's.
    replaced: int = 0
    # Those of the failures that do not count against the route's limit.
    uncounted: int = 0

    @property
    def execution(self) -> Execution:
        """Whether any attempt has run, as far as is known."""
        states = [classify_failure(kind) for kind in self.failures]
        if self.replaced:
            states.append(Execution.RAN)
        return combined_execution(tuple(states))

    @property
    def runs(self) -> int:
        """Number of attempts that may have run and count against the limit."""
        runs = self.replaced + sum(
            classify_failure(kind) is not Execution.NOT_RUN
            for kind in self.failures
        )
        return runs - self.uncounted

    def with_failure(
        self, kind: FailureKind, *, leaving: bool = False
    ) -> Attempts:
        """Returns a copy with another failed attempt.

        Args:
            kind: How it failed.
            leaving: Whether the response was in progress, at an upstream known
                to be leaving. If that has cut it off, the attempt does not
                count against the route's limit.
        """
        return dataclasses.replace(
            self,
            failures=(*self.failures, kind),
            uncounted=self.uncounted + (leaving and kind in _CUT),
        )

    def with_replaced_response(self) -> Attempts:
        """Returns a copy with another replaced response."""
        return dataclasses.replace(self, replaced=self.replaced + 1)


def stop_reason(
    route: Route, attempts: Attempts, *, affordable: bool, started: bool
) -> StopReason | None:
    """Returns why a failed request is not retried; None if it is.

    A response in progress cannot be refused any more. A lack of budget or of
    upstreams may pass before its caller's deadline, so neither ends it.

    Args:
        route: Determines whether and how often a request may run.
        attempts: The attempts so far, at least one.
        affordable: Whether the retry budget allows another attempt.
        started: Whether the caller has received a part of the response.
    """
    if not started:
        if not affordable:
            return StopReason.BUDGET
        gone = sum(kind in _GONE for kind in attempts.failures)
        not_run = sum(
            classify_failure(kind) is Execution.NOT_RUN
            for kind in attempts.failures
        )
        if gone >= _MAX_GONE or not_run - gone >= _MAX_NOT_RUN:
            return StopReason.REFUSALS
    if attempts.execution is Execution.NOT_RUN:
        return None
    if not route.repeatable:
        return StopReason.UNSAFE
    if attempts.runs >= max(1, route.max_attempts):
        return StopReason.ATTEMPTS
    return None


def refusal_delay_ms(attempts: Attempts) -> int:
    """Returns the delay before the next attempt of a response in progress.

    Each refused attempt draws on the retry budget that other requests need.
    """
    refusals = attempts.failures.count(FailureKind.REFUSED_NOT_RUN)
    if not refusals:
        return 0
    delay_ms = _REFUSAL_DELAY_MS << min(refusals - 1, 8)
    return min(_MAX_REFUSAL_DELAY_MS, delay_ms)


def connect_timeout_ms(remaining_ms: float, *, relayable: bool) -> float:
    """Returns the timeout for establishing a connection.

    Args:
        remaining_ms: Time left until the request's deadline.
        relayable: Whether another daemon may reach the upstream.
    """
    limit_ms = _RELAYABLE_TIMEOUT_MS if relayable else _CONNECT_TIMEOUT_MS
    return min(limit_ms, max(1.0, remaining_ms / 2))


def response_timeout_ms(
    route: Route,
    attempts: Attempts,
    remaining_ms: float,
    expected_ms: float,
    *,
    affordable: bool,
) -> float:
    """Returns the timeout for the first part of a response.

    Load pattern: too few upstreams for the traffic. Abandoning a slow response
    wastes the work done, and the retry slows the others down further, so the
    timeout grows with the latency currently expected.

    Args:
        route: Determines whether the request may run again, and its objective.
        attempts: The attempts before this one.
        remaining_ms: Time left until the request's deadline.
        expected_ms: Current expected latency of such responses.
        affordable: Whether the retry budget allows another attempt after it.
    """
    runs_left = max(1, route.max_attempts) - attempts.runs - 1
    if not route.repeatable or runs_left < 1 or not affordable:
        return remaining_ms
    factor = _PLAIN_TIMEOUT_FACTOR
    if route.kind is OperationKind.STREAM:
        factor = _FIRST_EVENT_TIMEOUT_FACTOR
    wait_ms = max(
        factor * route.target_latency_ms,
        _EXPECTED_LATENCY_FACTOR * expected_ms,
        1.0,
    )
    return min(remaining_ms, wait_ms)


def stall_timeout_ms(route: Route) -> float:
    """Returns the pause after which another upstream may resume a stream.

    Load pattern: sound upstreams fall silent for about a second. The pause
    itself never ends a response: without another upstream the stream is kept
    until its caller's deadline.
    """
    return _STALL_GAP_FACTOR * max(route.target_gap_ms, 1)
