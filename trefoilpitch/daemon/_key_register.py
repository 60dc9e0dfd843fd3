"""Registers client-generated idempotency keys and deletes old registrations.

Registrations are not bound to a store lease, because a lease that expires early
would let a request run again. One node at a time deletes old registrations,
shard by shard.
"""

from __future__ import annotations

import hashlib
import secrets
from collections.abc import Callable

import msgspec
import pykka
import xxhash
from returns.result import Failure, Result, Success

from trefoilpitch.callers import Registration
from trefoilpitch.clock import Clock
from trefoilpitch.membership import MembershipView
from trefoilpitch.metrics import Metrics
from trefoilpitch.requests import KeyedRequestId
from trefoilpitch.store import (
    ABSENT,
    ConflictError,
    Entry,
    KeyValueStore,
    OutcomeUnknownError,
    StoreError,
)
from trefoilpitch.supervision import Tick
from trefoilpitch.web import Outcome, Problem

REGISTER_PREFIX = "requests/"
# A key that is repeated after this time is treated as a new one.
RETENTION_MS = 48 * 3_600_000
# Sweeps each of the 256 shards about once an hour.
SWEEP_TICK_MS = 14_000

_SHARD_DIGITS = 2
_SHARDS = 16**_SHARD_DIGITS
_MAX_ATTEMPTS = 4
_RETRY_MS = 2_000
_NONCE_BYTES = 8


class _Record(msgspec.Struct):
    home: str
    nonce: str
    registered_ms: int


class StoreKeyRegister:
    """Registers keys in the store by compare-and-swap.

    Args:
        own: This process's incarnation.
        store: Holds the registrations.
        clock: Measures deadlines and timestamps registrations.
    """

    def __init__(self, own: str, store: KeyValueStore, clock: Clock) -> None:
        self._own = own
        self._store = store
        self._clock = clock

    def register(
        self, keyed_id: KeyedRequestId, deadline_ms: int
    ) -> Result[Registration, Problem]:
        """Returns the registration of a key, creating it if there is none."""
        record = _Record(
            home=self._own,
            nonce=secrets.token_hex(_NONCE_BYTES),
            registered_ms=self._clock.wall_ms(),
        )
        value = msgspec.json.encode(record)
        error: StoreError | None = None
        for _ in range(_MAX_ATTEMPTS):
            if self._clock.now_ms() >= deadline_ms:
                break
            outcome = self._try_register(_store_key(keyed_id), value)
            if isinstance(outcome, Success):
                return Success(outcome.unwrap())
            error = outcome.failure()
            if not isinstance(error, OutcomeUnknownError | ConflictError):
                break
        return Failure(_store_unavailable(error))

    def _try_register(
        self, key: str, value: bytes
    ) -> Result[Registration, StoreError]:
        put = self._store.put_if(key, value, ABSENT)
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
        # The nonce identifies this call's own write if its response was
        # lost.
        is_new = entry.value == value
        home = msgspec.json.decode(entry.value, type=_Record).home
        return Success(Registration(home=home, is_new=is_new))


class SweepActor(pykka.ThreadingActor):
    """Deletes old registrations, one shard on each tick.

    All nodes advance through the shards, but only the one that ranks first in
    its own view deletes. Differing views may select two nodes at once, which
    is harmless.

    Args:
        store: Holds the registrations.
        view: Returns the latest membership view.
        clock: Determines the age of registrations.
        metrics: Counts deletions.
    """

    def __init__(
        self,
        store: KeyValueStore,
        view: Callable[[], MembershipView],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._store = store
        self._view = view
        self._clock = clock
        self._metrics = metrics
        self._shard = 0

    def on_receive(self, message: object) -> None:
        """Advances to the next shard; sweeps it if this node is the sweeper."""
        if not isinstance(message, Tick):
            return
        self._shard = (self._shard + 1) % _SHARDS
        if _is_sweeper(self._view()):
            shard = f"{self._shard:0{_SHARD_DIGITS}x}"
            swept = sweep_shard(self._store, shard, self._clock.wall_ms())
            self._metrics.count("registrations_swept", by=swept)


def sweep_shard(store: KeyValueStore, shard: str, wall_ms: int) -> int:
    """Deletes old registrations of a shard; returns how many were deleted."""
    listed = store.list_prefix(f"{REGISTER_PREFIX}{shard}")
    if not isinstance(listed, Success):
        return 0
    swept = 0
    for entry in listed.unwrap().entries:
        if _is_old(entry, wall_ms):
            deleted = store.delete_if(entry.key, entry.revision)
            swept += isinstance(deleted, Success)
    return swept


def _is_old(entry: Entry, wall_ms: int) -> bool:
    try:
        record = msgspec.json.decode(entry.value, type=_Record)
    except msgspec.DecodeError:
        return False
    return wall_ms - record.registered_ms > RETENTION_MS


def _is_sweeper(view: MembershipView) -> bool:
    names = [one.name for one in view.members if one.is_eligible]
    if view.own_name not in names:
        return False
    first = max(names, key=lambda name: xxhash.xxh64_intdigest(name.encode()))
    return first == view.own_name


def _store_key(keyed_id: KeyedRequestId) -> str:
    digest_input = f"{keyed_id.workspace}\0{keyed_id.key}".encode()
    return REGISTER_PREFIX + hashlib.sha256(digest_input).hexdigest()


def _store_unavailable(error: StoreError | None) -> Problem:
    """Returns the refusal of a key that cannot be looked up or registered.

    This request was not dispatched, but an earlier one with the same key may
    have been, so the outcome is unknown rather than not run.
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
