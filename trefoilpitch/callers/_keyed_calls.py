"""Runs calls with idempotency keys at most once across all nodes."""

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
# Earlier than the issue time of any key, so that a key of unknown age is
# treated as expired unless this home has an entry for it.
_BEFORE_ANY_ISSUED_MS = -(1 << 62)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Registration:
    """The registered home of a key that no node issued."""

    # The incarnation that alone may run the request.
    home: str
    # Whether the key was registered by this very call.
    is_new: bool


class KeyRegister(Protocol):
    """Registers in the store which incarnation may run which request."""

    def register(
        self, keyed_id: KeyedRequestId, deadline_ms: int
    ) -> Result[Registration, Problem]:
        """Returns the registration of a key; registers the key if it is new."""


class HomeDirectory(Protocol):
    """Looks up the addresses of home incarnations."""

    @property
    def own(self) -> str:
        """This process's incarnation."""

    def caller_address(self, incarnation: str) -> str | None:
        """Returns the caller API address of a live incarnation, else None."""


class Forwarder(Protocol):
    """Forwards requests to the home of their key."""

    def forward(
        self, address: str, request: Request, deadline_ms: int
    ) -> Result[Response, Problem]:
        """Returns the home's response, or a problem if there is none."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyedCall:
    """A call with an idempotency key."""

    # The request as received, for forwarding.
    request: Request
    # The workspace and the key.
    keyed_id: KeyedRequestId
    # The parsed key, which names its home if a node issued it.
    key: RequestKey
    # Digest of the method, path, query and body.
    fingerprint: bytes
    # Request identifier for problem responses.
    request_id: str
    # Monotonic deadline of the call, in milliseconds.
    deadline_ms: int
    # Whether another node forwarded the request; never forwarded again.
    is_forwarded: bool
    # Ends the wait for a running call with the same key.
    cancellation: Cancellation


class KeyedCalls:
    """Runs each keyed call on its home, at most once.

    Args:
        homes: Looks up the addresses of homes.
        register: Registers keys that no node issued.
        forwarder: Forwards requests to other homes.
        keyed: The keyed requests that this home has run or is running.
        clock: Dates newly registered keys.
    """

    def __init__(
        self,
        *,
        homes: HomeDirectory,
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
        """Runs a call here, replays its result, or forwards it to its home.

        Args:
            call: The call.
            execute: Runs the call; invoked at most once.
        """
        if isinstance(call.key, HomedKey):
            if call.key.home != self._homes.own:
                return self._forward(call, call.key.home)
            return self._run_here(call, call.key.issued_ms, execute)
        return self._run_registered(call, call.key, execute)

    def is_first(self, keyed_id: KeyedRequestId, key: RequestKey) -> bool:
        """Returns whether certainly no request with the key has run before."""
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
        issued_ms = _BEFORE_ANY_ISSUED_MS
        if registration.is_new:
            issued_ms = self._clock.now_ms()
        return self._run_here(call, issued_ms, execute)

    def _forward(
        self, call: KeyedCall, home: str
    ) -> Result[CallResponse | Response, Problem]:
        address = self._homes.caller_address(home)
        if call.is_forwarded or address is None:
            return Failure(_home_unreachable_problem(call))
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
            return _replay_or_refuse(call, admission)
        try:
            result = execute()
        except BaseException:
            self._keyed.finish_unknown(call.keyed_id)
            raise
        self._record_result(call.keyed_id, result)
        return result

    def _record_result(
        self, keyed_id: KeyedRequestId, result: CallResult
    ) -> None:
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


def _replay_or_refuse(
    call: KeyedCall, admission: Admission[CallResult]
) -> CallResult:
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
    Verdict.RESPONSE_DROPPED: (
        410,
        "answer-dropped",
        "the request ran; its answer is no longer held",
        Outcome.FAILED,
    ),
}


def _home_unreachable_problem(call: KeyedCall) -> Problem:
    return Problem(
        status=504,
        code="home-gone",
        title="the VM that the key belongs to cannot be reached",
        detail="It will not run the request later. It may have run it before.",
        outcome=Outcome.UNKNOWN,
        request_id=call.request_id,
    )
