"""The registry of keyed requests that a home has admitted.

A non-idempotent request runs at most once because only its home dispatches it
and the home keeps an entry for each key for as long as the key is valid. A key
that is no longer valid is refused, so evicting an entry can never lead to a
second run.
"""

from __future__ import annotations

import dataclasses
import enum
from collections import OrderedDict
from typing import Generic, TypeVar

KEY_VALIDITY_MS = 600_000
MAX_RESPONSE_BYTES = 16 * 1024 * 1024

ResponseT = TypeVar("ResponseT")


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRequestId:
    """Identifies a keyed request; keys of different workspaces are distinct."""

    workspace: str
    # The idempotency key, as the caller sent it.
    key: str


class Phase(enum.Enum):
    """The state of a keyed request's execution."""

    RUNNING = "running"
    RAN = "ran"
    UNKNOWN = "unknown"


class Verdict(enum.Enum):
    """What to do with a keyed request that has been received."""

    # The key is unused: dispatch the request.
    RUN = "run"
    # The same request is running: wait for its response.
    JOIN = "join"
    # The request ran: send the stored response.
    REPLAY = "replay"
    # The request ran, but its response was evicted or never stored.
    RESPONSE_DROPPED = "answer_dropped"
    # The request may have run, so it must not run again.
    UNKNOWN = "unknown"
    # The key was used for a request with different content.
    MISMATCH = "mismatch"
    # The key is not valid at this time and has no entry.
    EXPIRED = "expired"


@dataclasses.dataclass(frozen=True, slots=True)
class Admission(Generic[ResponseT]):
    """The registry's decision on a keyed request."""

    verdict: Verdict
    # The response to replay; None unless the verdict is ``REPLAY``.
    response: ResponseT | None = None


@dataclasses.dataclass(slots=True)
class _Entry(Generic[ResponseT]):
    fingerprint: bytes
    expires_ms: int
    phase: Phase = Phase.RUNNING
    response: ResponseT | None = None
    response_bytes: int = 0


class RequestRegistry(Generic[ResponseT]):
    """Decides which keyed requests may run.

    Not thread-safe: the owner serialises the calls.

    Args:
        key_validity_ms: How long after its issue a key may be used.
        max_response_bytes: Total size of the stored responses. The oldest
            responses are evicted first; their entries stay until the keys
            expire, so that the requests cannot run again.
    """

    def __init__(
        self,
        key_validity_ms: int = KEY_VALIDITY_MS,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        self._key_validity_ms = key_validity_ms
        self._max_response_bytes = max_response_bytes
        self._response_bytes = 0
        self._entries: OrderedDict[KeyedRequestId, _Entry[ResponseT]] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def response_bytes(self) -> int:
        """Total size of the stored responses."""
        return self._response_bytes

    def admit(
        self,
        keyed_id: KeyedRequestId,
        fingerprint: bytes,
        issued_ms: int,
        now_ms: int,
    ) -> Admission[ResponseT]:
        """Decides what to do with a request.

        Args:
            keyed_id: The workspace and its idempotency key.
            fingerprint: Digest of the request's operation and content.
            issued_ms: When the key was issued, on this node's clock.
            now_ms: The current time on the same clock.
        """
        self._evict_expired(now_ms)
        entry = self._entries.get(keyed_id)
        if entry is not None:
            return _admit_repeat(entry, fingerprint)
        if not self.is_first(keyed_id, issued_ms, now_ms):
            return Admission(Verdict.EXPIRED)
        expires_ms = issued_ms + self._key_validity_ms
        self._entries[keyed_id] = _Entry(fingerprint, expires_ms)
        return Admission(Verdict.RUN)

    def is_first(
        self, keyed_id: KeyedRequestId, issued_ms: int, now_ms: int
    ) -> bool:
        """Returns whether the key is valid and no request has used it."""
        if keyed_id in self._entries:
            return False
        return issued_ms <= now_ms < issued_ms + self._key_validity_ms

    def finish_not_run(self, keyed_id: KeyedRequestId) -> None:
        """Removes the entry of a request that did not run.

        The same key may then run.
        """
        self._entries.pop(keyed_id, None)

    def finish_unknown(self, keyed_id: KeyedRequestId) -> None:
        """Records that the request may or may not have run."""
        self._entries[keyed_id].phase = Phase.UNKNOWN

    def finish_ran(
        self,
        keyed_id: KeyedRequestId,
        response: ResponseT | None,
        response_bytes: int,
    ) -> None:
        """Records that the request ran, and stores its response.

        Args:
            keyed_id: The workspace and its idempotency key.
            response: What to replay to repeats; None stores no response.
            response_bytes: Size of the response.
        """
        entry = self._entries[keyed_id]
        entry.phase = Phase.RAN
        entry.response = response
        entry.response_bytes = response_bytes
        self._response_bytes += response_bytes
        self._evict_responses()

    def _evict_expired(self, now_ms: int) -> None:
        for keyed_id, entry in list(self._oldest()):
            if entry.expires_ms > now_ms or entry.phase is Phase.RUNNING:
                return
            self._response_bytes -= entry.response_bytes
            del self._entries[keyed_id]

    def _oldest(self) -> list[tuple[KeyedRequestId, _Entry[ResponseT]]]:
        batch = []
        for item in self._entries.items():
            batch.append(item)
            if len(batch) == _EVICTION_BATCH:
                break
        return batch

    def _evict_responses(self) -> None:
        if self._response_bytes <= self._max_response_bytes:
            return
        for entry in self._entries.values():
            self._response_bytes -= entry.response_bytes
            entry.response = None
            entry.response_bytes = 0
            if self._response_bytes <= self._max_response_bytes:
                return


# Entries checked for expiry at each admission, to bound the time that it takes.
_EVICTION_BATCH = 64


def _admit_repeat(
    entry: _Entry[ResponseT], fingerprint: bytes
) -> Admission[ResponseT]:
    if entry.fingerprint != fingerprint:
        return Admission(Verdict.MISMATCH)
    if entry.phase is Phase.RUNNING:
        return Admission(Verdict.JOIN)
    if entry.phase is Phase.UNKNOWN:
        return Admission(Verdict.UNKNOWN)
    if entry.response is None:
        return Admission(Verdict.RESPONSE_DROPPED)
    return Admission(Verdict.REPLAY, entry.response)
