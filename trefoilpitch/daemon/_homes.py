"""Finds the homes of keys, hands requests to them, registers other keys."""

from __future__ import annotations

import hashlib
import secrets
import threading
import urllib.parse
from collections.abc import Callable
from types import TracebackType
from typing import Self

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from trefoilpitch.callers import FORWARDED_HEADER, Registration
from trefoilpitch.clock import Clock
from trefoilpitch.identity import node_of
from trefoilpitch.membership import MembershipView, MemberState
from trefoilpitch.requests import RequestSlot
from trefoilpitch.store import (
    ABSENT,
    NO_LEASE,
    ConflictError,
    KeyValueStore,
    OutcomeUnknownError,
    StoreError,
)
from trefoilpitch.web import (
    Header,
    Outcome,
    Problem,
    Request,
    Response,
)

REGISTER_PREFIX = "requests/"
REGISTER_TTL_MS = 24 * 3_600_000

_RENEW_LEASE_MS = 3_600_000
_MS_PER_S = 1_000
_MAX_TRIES = 4
_RETRY_MS = 2_000
_CONNECT_TIMEOUT_S = 0.5
_PASSED_HEADERS = (
    "authorization",
    "idempotency-key",
    "content-type",
    "session",
)
_RETURNED_HEADERS = ("Request-Id", "Retry-After", "Session")
_NONCE_BYTES = 8


class FleetHomes:
    """Finds homes in the view of the fleet.

    Args:
        own: This process's incarnation.
        view: Returns the newest view.
    """

    def __init__(self, own: str, view: Callable[[], MembershipView]) -> None:
        self._own = own
        self._view = view

    @property
    def own(self) -> str:
        """This process's incarnation."""
        return self._own

    def caller_address(self, incarnation: str) -> str | None:
        """Returns where a live incarnation takes requests."""
        member = self._view().get(node_of(incarnation))
        if member is None or member.incarnation != incarnation:
            return None
        if member.state is MemberState.GONE:
            return None
        return member.endpoints.caller_address


class HttpForwarder:
    """Hands requests to other daemons over HTTP; a context manager.

    Args:
        own: This process's incarnation.
        clock: Measures deadlines.
    """

    def __init__(self, own: str, clock: Clock) -> None:
        self._own = own
        self._clock = clock
        self._pools = urllib3.PoolManager(maxsize=8, retries=False)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._pools.clear()

    def forward(
        self, address: str, request: Request, deadline_ms: int
    ) -> Result[Response, Problem]:
        """Returns what the home answers.

        Whatever goes wrong, the home may have run the request before, so a
        failure proves nothing.
        """
        left_s = max(1, deadline_ms - self._clock.now_ms()) / _MS_PER_S
        headers = {name: request.header(name) for name in _PASSED_HEADERS}
        headers = {name: value for name, value in headers.items() if value}
        headers[FORWARDED_HEADER] = self._own
        try:
            reply = self._pools.request(
                request.method,
                f"http://{address}{_target(request)}",
                body=request.body,
                fields=None,
                headers=headers,
                redirect=False,
                timeout=urllib3.Timeout(
                    connect=_CONNECT_TIMEOUT_S, read=left_s
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            return Failure(_unknown(str(error)))
        return Success(_to_response(reply))


def _target(request: Request) -> str:
    """Returns the path and query as the home must read them again."""
    query = urllib.parse.urlencode(request.query)
    path = urllib.parse.quote(request.path)
    return f"{path}?{query}" if query else path


def _to_response(reply: urllib3.BaseHTTPResponse) -> Response:
    returned = tuple(
        Header(name=name, value=reply.headers[name])
        for name in _RETURNED_HEADERS
        if name in reply.headers
    )
    return Response(
        status=reply.status,
        content_type=reply.headers.get("Content-Type", ""),
        body=reply.data,
        headers=returned,
    )


def _unknown(detail: str) -> Problem:
    return Problem(
        status=504,
        code="home-unreachable",
        title="the VM that the key belongs to did not answer",
        detail=detail,
        outcome=Outcome.UNKNOWN,
    )


class _Record(msgspec.Struct):
    home: str
    nonce: str


class StoreKeyRegister:
    """Registers keys in the store by compare-and-swap.

    A registration is kept for a day, longer than any home remembers a key, so
    that a repeat finds it however late it comes.

    Args:
        own: This process's incarnation.
        store: Keeps the registrations.
        clock: Measures deadlines.
    """

    def __init__(self, own: str, store: KeyValueStore, clock: Clock) -> None:
        self._own = own
        self._store = store
        self._clock = clock
        self._lock = threading.Lock()
        self._lease_id = NO_LEASE
        self._renew_at_ms = 0

    def register(
        self, slot: RequestSlot, deadline_ms: int
    ) -> Result[Registration, Problem]:
        """Returns the registration of a key, made now if there is none."""
        record = _Record(self._own, secrets.token_hex(_NONCE_BYTES))
        value = msgspec.json.encode(record)
        error: StoreError | None = None
        for _ in range(_MAX_TRIES):
            if self._clock.now_ms() >= deadline_ms:
                break
            outcome = self._try_register(_store_key(slot), value)
            if isinstance(outcome, Success):
                return Success(outcome.unwrap())
            error = outcome.failure()
            if not isinstance(error, OutcomeUnknownError | ConflictError):
                break
        return Failure(_store_refusal(error))

    def _try_register(
        self, key: str, value: bytes
    ) -> Result[Registration, StoreError]:
        lease_id = self._current_lease()
        if not isinstance(lease_id, Success):
            return Failure(lease_id.failure())
        put = self._store.put_if(key, value, ABSENT, lease_id.unwrap())
        if isinstance(put, Success):
            return Success(Registration(home=self._own, is_new=True))
        error = put.failure()
        if not isinstance(error, OutcomeUnknownError | ConflictError):
            return Failure(error)
        found = self._store.get(key)
        if not isinstance(found, Success):
            return Failure(found.failure())
        entry = found.unwrap()
        if entry is None:
            return Failure(error)
        # The nonce tells this call's own write from any other.
        is_new = entry.value == value
        home = msgspec.json.decode(entry.value, type=_Record).home
        return Success(Registration(home=home, is_new=is_new))

    def _current_lease(self) -> Result[int, StoreError]:
        with self._lock:
            now_ms = self._clock.now_ms()
            if self._lease_id != NO_LEASE and now_ms < self._renew_at_ms:
                return Success(self._lease_id)
            granted = self._store.grant_lease(REGISTER_TTL_MS)
            if not isinstance(granted, Success):
                return Failure(granted.failure())
            self._lease_id = granted.unwrap().lease_id
            self._renew_at_ms = now_ms + _RENEW_LEASE_MS
            return Success(self._lease_id)


def _store_key(slot: RequestSlot) -> str:
    named = f"{slot.workspace}\0{slot.key}".encode()
    return REGISTER_PREFIX + hashlib.sha256(named).hexdigest()


def _store_refusal(error: StoreError | None) -> Problem:
    """Returns the refusal while the store cannot tell a key's history.

    This call was not dispatched, but an earlier one with the same key may
    have been, so the refusal does not claim that the request did not run.
    """
    return Problem(
        status=503,
        code="store-unavailable",
        title="the key cannot be registered now",
        detail=(
            "Ask GET /v1/entries for a key prefix: keys made from it need no "
            f"registration. ({error.detail if error else 'timeout'})"
        ),
        outcome=Outcome.UNKNOWN,
        retry_after_ms=_RETRY_MS,
    )
