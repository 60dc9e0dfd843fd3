"""When a request is tried again, and how long a try may take.

Load pattern: upstreams that fail, hang or lose answers, while every repeat
loads the fleet further and draws on a budget that all daemons share.
"""

from __future__ import annotations

import dataclasses

from trefoilpitch.fleet import OperationKind, Route
from trefoilpitch.retries import (
    Execution,
    FailureKind,
    classify_failure,
    combined_execution,
)

# A connection within a region opens in a few milliseconds; a longer wait
# means a lost packet or a dead machine.
_CONNECT_TIMEOUT_MS = 300.0
# Share of the objective after which a silent upstream is given up for
# another one: enough is left to be in time there.
_FIRST_EVENT_SHARE = 0.6
# A plain answer is given up later, as its objective is close to its latency.
_PLAIN_SHARE = 1.6
# An answer that takes this many times the usual is not expected any more.
_SLOW_FACTOR = 4.0
# Share of the largest pause of an event stream after which it is resumed.
_GAP_SHARE = 0.8
# Pauses, in relation to the largest one that is on time, that callers bear.
_GAP_PATIENCE = 8
# Tries that did not run, after which a request is refused.
_MAX_NOT_RUN = 5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tries:
    """How the tries of a request have failed so far."""

    # Failures, oldest first.
    failures: tuple[FailureKind, ...] = ()
    # Tries that another model's answer replaced.
    replaced: int = 0

    @property
    def execution(self) -> Execution:
        """What is known of whether the request has run."""
        states = [classify_failure(kind) for kind in self.failures]
        if self.replaced:
            states.append(Execution.RAN)
        return combined_execution(tuple(states))

    @property
    def runs(self) -> int:
        """Tries that may have run."""
        return self.replaced + sum(
            classify_failure(kind) is not Execution.NOT_RUN
            for kind in self.failures
        )

    def failed(self, kind: FailureKind) -> Tries:
        """Returns the tries with another failure."""
        return dataclasses.replace(self, failures=(*self.failures, kind))

    def replace_answer(self) -> Tries:
        """Returns the tries with another answer that was dropped."""
        return dataclasses.replace(self, replaced=self.replaced + 1)


def may_try_again(route: Route, tries: Tries, *, affordable: bool) -> bool:
    """Decides whether a request goes to another upstream.

    Args:
        route: Says what may be repeated, and how often.
        tries: The tries so far, one or more.
        affordable: Whether the retry budget allows it.
    """
    if not affordable or len(tries.failures) - tries.runs >= _MAX_NOT_RUN:
        return False
    if tries.execution is Execution.NOT_RUN:
        return True
    return route.repeatable and tries.runs < max(1, route.max_attempts)


def connect_timeout_ms(remaining_ms: float) -> float:
    """Returns how long to wait for a connection."""
    return min(_CONNECT_TIMEOUT_MS, max(1.0, remaining_ms / 2))


def answer_timeout_ms(
    route: Route,
    tries: Tries,
    remaining_ms: float,
    usual_ms: float,
    *,
    affordable: bool,
) -> float:
    """Returns how long to wait for the first part of an answer.

    Load pattern: too few upstreams for the traffic. A slow answer that is
    given up is work lost, and its repeat makes the others slower still, so
    the wait grows with what such answers take at the time.

    Args:
        route: Says what may be repeated, and what is in time.
        tries: The tries before this one.
        remaining_ms: What is left until the request has to be answered.
        usual_ms: How long such answers take at the time.
        affordable: Whether the retry budget allows another try after it.
    """
    runs_left = max(1, route.max_attempts) - tries.runs - 1
    if not route.repeatable or runs_left < 1 or not affordable:
        return remaining_ms
    share = _PLAIN_SHARE
    if route.kind is OperationKind.STREAM:
        share = _FIRST_EVENT_SHARE
    wait_ms = max(share * route.target_latency_ms, _SLOW_FACTOR * usual_ms, 1.0)
    return min(remaining_ms, wait_ms)


def gap_timeout_ms(route: Route, *, can_resume: bool) -> float:
    """Returns how long to wait for the next event of a stream."""
    gap_ms = max(route.target_gap_ms, 1)
    return gap_ms * (_GAP_SHARE if can_resume else _GAP_PATIENCE)
