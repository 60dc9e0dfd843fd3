"""Calls that may run at most once, wherever they arrive."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Protocol, TypeAlias

from returns.result import Failure, Result, Success

from trefoilpitch.clock import Clock
from trefoilpitch.identity import HomedKey, RequestKey, UnprefixedKey
from trefoilpitch.requests import Admission, KeyedRequestId, Verdict
from trefoilpitch.serving import CallResponse, KeyedRequests
from trefoilpitch.upstreams import Cancellation
from trefoilpitch.web import Outcome, Problem, Request, Response

CallResult: TypeAlias = Result[CallResponse, Problem]
_RETRY_MS = 1_000
# Earlier than any key that a node can have issued.
_ISSUED_LONG_AGO_MS = -(1 << 62)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Registration:
    """Who may run a request whose key no node issued."""

    # The incarnation that may run it.
    home: str
    # Whether this call made the registration.
    is_new: bool


class KeyRegister(Protocol):
    """Remembers in the store which incarnation may run which request."""

    def register(
        self, keyed_id: KeyedRequestId, deadline_ms: int
    ) -> Result[Registration, Problem]:
        """Returns the registration of a key, made now if there is none."""


class Homes(Protocol):
    """Tells where the homes of keys are."""

    @property
    def own(self) -> str:
        """This process's incarnation."""

    def caller_address(self, incarnation: str) -> str | None:
        """Returns where a live incarnation takes requests."""


class Forwarder(Protocol):
    """Hands requests to the home of their key."""

    def forward(
        self, address: str, request: Request, deadline_ms: int
    ) -> Result[Response, Problem]:
        """Returns what the home answers, or what is known without it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyedCall:
    """A call with an idempotency key."""

    # The request as it arrived.
    request: Request
    # The workspace and the key.
    keyed_id: KeyedRequestId
    # The key.
    key: RequestKey
    # Digest of the operation and the content.
    fingerprint: bytes
    # Identifies the request in problems.
    request_id: str
    # Monotonic time by which it must have ended.
    deadline_ms: int
    # Whether another node handed the request over.
    is_forwarded: bool
    # Ends the wait for an equal call that is running.
    cancellation: Cancellation


class KeyedCalls:
    """Runs each keyed call on its home, at most once.

    Args:
        homes: Tells where homes are.
        register: Registers keys that no node issued.
        forwarder: Hands requests to other homes.
        keyed: This home's memory.
        clock: Measures time.
    """

    def __init__(
        self,
        *,
        homes: Homes,
        register: KeyRegister,
        forwarder: Forwarder,
        keyed: KeyedRequests[CallResult],
        clock: Clock,
    ) -> None:
        self._homes = homes
        self._register = register
        self._forwarder = forwarder
        self._keyed = keyed
        self._clock = clock

    def run(
        self, call: KeyedCall, execute: Callable[[], CallResult]
    ) -> Result[CallResponse | Response, Problem]:
        """Runs a call here, hands it to its home, or replays its answer.

        Args:
            call: The call.
            execute: Runs it; called at most once.
        """
        if isinstance(call.key, HomedKey):
            if call.key.home != self._homes.own:
                return self._forward(call, call.key.home)
            return self._run_here(call, call.key.issued_ms, execute)
        return self._run_registered(call, call.key, execute)

    def is_first(self, keyed_id: KeyedRequestId, key: RequestKey) -> bool:
        """Returns whether no request with the key can have run before."""
        if not isinstance(key, HomedKey) or key.home != self._homes.own:
            return False
        return self._keyed.is_first(keyed_id, key.issued_ms)

    def _run_registered(
        self,
        call: KeyedCall,
        key: UnprefixedKey,
        execute: Callable[[], CallResult],
    ) -> Result[CallResponse | Response, Problem]:
        del key
        registered = self._register.register(call.keyed_id, call.deadline_ms)
        if not isinstance(registered, Success):
            return Failure(registered.failure())
        registration = registered.unwrap()
        if registration.home != self._homes.own:
            return self._forward(call, registration.home)
        issued_ms = _ISSUED_LONG_AGO_MS
        if registration.is_new:
            issued_ms = self._clock.now_ms()
        return self._run_here(call, issued_ms, execute)

    def _forward(
        self, call: KeyedCall, home: str
    ) -> Result[CallResponse | Response, Problem]:
        address = self._homes.caller_address(home)
        if call.is_forwarded or address is None:
            return Failure(_home_gone(call))
        forwarded = self._forwarder.forward(
            address, call.request, call.deadline_ms
        )
        if isinstance(forwarded, Success):
            return Success(forwarded.unwrap())
        return Failure(forwarded.failure())

    def _run_here(
        self,
        call: KeyedCall,
        issued_ms: int,
        execute: Callable[[], CallResult],
    ) -> CallResult:
        admission = self._keyed.admit(
            call.keyed_id,
            call.fingerprint,
            issued_ms,
            call.deadline_ms,
            cancellation=call.cancellation,
        )
        if admission.verdict is not Verdict.RUN:
            return _replay(call, admission)
        try:
            result = execute()
        except BaseException:
            self._keyed.finish_unknown(call.keyed_id)
            raise
        self._remember(call.keyed_id, result)
        return result

    def _remember(self, keyed_id: KeyedRequestId, result: CallResult) -> None:
        if isinstance(result, Success):
            size = len(result.unwrap().body)
            self._keyed.finish_ran(keyed_id, result, size)
            return
        outcome = result.failure().outcome
        if outcome is Outcome.NOT_RUN:
            self._keyed.finish_not_run(keyed_id)
        elif outcome is Outcome.FAILED:
            self._keyed.finish_ran(keyed_id, result, 0)
        else:
            self._keyed.finish_unknown(keyed_id)


def _replay(call: KeyedCall, admission: Admission[CallResult]) -> CallResult:
    if admission.response is not None:
        return admission.response
    return Failure(_verdict_problem(call, admission.verdict))


def _verdict_problem(call: KeyedCall, verdict: Verdict) -> Problem:
    status, code, title, outcome = _VERDICT_PROBLEMS[verdict]
    return Problem(
        status=status,
        code=code,
        title=title,
        outcome=outcome,
        retry_after_ms=_RETRY_MS if verdict is Verdict.JOIN else None,
        request_id=call.request_id,
    )


_VERDICT_PROBLEMS = {
    Verdict.JOIN: (
        409,
        "still-running",
        "the request with this key is still running",
        Outcome.UNKNOWN,
    ),
    Verdict.UNKNOWN: (
        504,
        "outcome-unknown",
        "whether the request with this key ran cannot be told",
        Outcome.UNKNOWN,
    ),
    Verdict.EXPIRED: (
        409,
        "key-expired",
        "the key is too old: whether its request ran cannot be told",
        Outcome.UNKNOWN,
    ),
    Verdict.MISMATCH: (
        422,
        "key-reused",
        "the key was used for a request with other content",
        Outcome.NOT_RUN,
    ),
    Verdict.ANSWER_DROPPED: (
        410,
        "answer-dropped",
        "the request ran; its answer is no longer held",
        Outcome.FAILED,
    ),
}


def _home_gone(call: KeyedCall) -> Problem:
    return Problem(
        status=504,
        code="home-gone",
        title="the VM that the key belongs to cannot be reached",
        detail="It will not run the request later. It may have run it before.",
        outcome=Outcome.UNKNOWN,
        request_id=call.request_id,
    )
