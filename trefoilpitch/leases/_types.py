"""The lease's record and settings, and the state of a candidate."""

from __future__ import annotations

import dataclasses
import enum

import msgspec

_RENEWALS_PER_VALIDITY = 3
_RETRIES_PER_VALIDITY = 10
_MARGINS_PER_VALIDITY = 20


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTerms:
    """A candidate's name and the timing of its lease; see `lease_terms`.

    Not to be confused with `Term`, a period in which the lease is held.
    """

    # The candidate's name; unique to one incarnation, so never reused after a
    # restart.
    holder: str
    # How long a write of the record is valid, counted from its sending.
    validity_ms: int
    # The holder stops acting this long before the validity ends, and a
    # successor waits this long after it. Covers clocks that run at different
    # rates, and the time between checking the lease and an action's effect.
    margin_ms: int
    # Time between renewals.
    renew_interval_ms: int
    # Time between reads by a candidate that waits for the lease.
    read_interval_ms: int
    # Time until the next call after a failed one.
    retry_interval_ms: int


def lease_terms(holder: str, *, validity_ms: int) -> LeaseTerms:
    """Creates terms with intervals proportional to the validity.

    Args:
        holder: The name of the candidate's incarnation; a restarted process
            must not reuse it.
        validity_ms: How long a write is valid, and so how long a successor
            waits after a holder has crashed.
    """
    return LeaseTerms(
        holder=holder,
        validity_ms=validity_ms,
        margin_ms=max(validity_ms // _MARGINS_PER_VALIDITY, 1),
        renew_interval_ms=validity_ms // _RENEWALS_PER_VALIDITY,
        read_interval_ms=validity_ms // _RENEWALS_PER_VALIDITY,
        retry_interval_ms=max(validity_ms // _RETRIES_PER_VALIDITY, 1),
    )


class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The value of a lease's key in the store."""

    # Name of the candidate that wrote the record.
    holder: str
    # Counts the candidate's writes. Identifies a write whose response was
    # lost.
    sequence: int
    # How long the write is valid; a successor waits until this has passed.
    validity_ms: int
    # Whether the holder has released the lease; a successor need not wait.
    released: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """The latest revision of the record that a candidate has observed."""

    # `ABSENT` if the lease was never held, or if the record was deleted.
    revision: int
    # None if the record is absent or can't be decoded.
    record: LeaseRecord | None
    # When a response first showed this revision, which is never before it was
    # written.
    first_seen_ms: int
    # Whether the record existed and was deleted.
    is_deleted: bool = False


class RereadReason(enum.Enum):
    """Why the record must be read before the next write."""

    # It need not be read.
    NONE = "none"
    # The candidate's last write may have been applied.
    UNSETTLED = "unsettled"
    # The record has a later revision than the one observed.
    OUTDATED = "outdated"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Term:
    """An uninterrupted period in which the candidate holds the lease."""

    # The store revision of the write that acquired the lease.
    fencing_number: int
    # When the validity of the last confirmed write ends.
    valid_until_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PendingWrite:
    """A write that is neither confirmed nor known to have failed."""

    # The sequence number in its record.
    sequence: int
    # When it was sent; its validity counts from then.
    sent_ms: int
    # The write succeeds only if the record has this revision.
    expected_revision: int
    # Whether it releases the lease.
    released: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseCounters:
    """Totals of one candidate since its start."""

    # Terms that began.
    terms: int = 0
    # Terms that expired because no renewal was confirmed in time.
    lapses: int = 0
    # Writes rejected because the record had another revision.
    conflicts: int = 0
    # Calls to the store that failed or whose outcome is unknown.
    failures: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseState:
    """The state of a candidate."""

    # The candidate's name and the lease's timing.
    terms: LeaseTerms
    # The sequence number of the last write.
    sequence: int = 0
    # None before the first read.
    observed: Observation | None = None
    # Whether and why the record must be read before the next write.
    reread_reason: RereadReason = RereadReason.NONE
    # The current term; may have expired since the last event. None if the
    # lease is not held.
    term: Term | None = None
    # The last write sent, until its outcome is known.
    pending_write: PendingWrite | None = None
    # There is at most one call at a time.
    is_call_in_flight: bool = False
    # Monotonic time at which the next call is due.
    due_ms: int = 0
    # Whether the candidate releases the lease and does not acquire it again.
    is_releasing: bool = False
    # Whether the release is complete.
    is_released: bool = False
    counters: LeaseCounters = LeaseCounters()

    def fencing_number(self, now_ms: int) -> int | None:
        """Returns the fencing number if the lease is valid now, else None.

        Call it immediately before acting, as a pause may have outlasted the
        validity.
        """
        if self.term is None or self.is_releasing:
            return None
        if now_ms >= self.term.valid_until_ms - self.terms.margin_ms:
            return None
        return self.term.fencing_number
