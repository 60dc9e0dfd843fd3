"""What a lease consists of and what its candidates know of it."""

from __future__ import annotations

import dataclasses
import enum

import msgspec

_RENEWALS_PER_VALIDITY = 3
_RETRIES_PER_VALIDITY = 10
_MARGIN_SHARE = 20


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTerms:
    """How one candidate holds one lease; see `lease_terms`."""

    # Names the candidate; never used again after a restart.
    holder: str
    # How long a write of the record is valid, from when it was sent.
    validity_ms: int
    # Taken off the validity by the holder and added to it by a successor:
    # covers clocks of unlike rate, and the time from check to effect.
    margin_ms: int
    # Time between renewals.
    renew_interval_ms: int
    # Time between reads by a candidate that waits.
    read_interval_ms: int
    # Time after a failed call.
    retry_interval_ms: int


def lease_terms(holder: str, *, validity_ms: int) -> LeaseTerms:
    """Creates terms with intervals in proportion to the validity.

    Args:
        holder: Names the candidate's incarnation; a restarted process must
            not use it again.
        validity_ms: How long a successor waits for a holder that is gone.
    """
    return LeaseTerms(
        holder=holder,
        validity_ms=validity_ms,
        margin_ms=max(validity_ms // _MARGIN_SHARE, 1),
        renew_interval_ms=validity_ms // _RENEWALS_PER_VALIDITY,
        read_interval_ms=validity_ms // _RENEWALS_PER_VALIDITY,
        retry_interval_ms=max(validity_ms // _RETRIES_PER_VALIDITY, 1),
    )


class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The value of a lease's key in the store."""

    # The candidate that wrote it.
    holder: str
    # Counts the candidate's writes: tells a lost reply's write from others.
    sequence: int
    # How long the write is valid; a successor waits it out.
    validity_ms: int
    # Whether the holder has stopped: a successor need not wait.
    released: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """The latest revision of the record that a candidate knows of."""

    # The record's revision; `ABSENT` if nobody ever held the lease.
    revision: int
    # The record; None if absent or unreadable.
    record: LeaseRecord | None
    # When a reply first showed this revision, so not before its write.
    since_ms: int
    # Whether the record was there before and has been deleted.
    is_deleted: bool = False


class Recheck(enum.Enum):
    """Why the record must be read before the next write."""

    # No reason: the observation is as good as any.
    NONE = "none"
    # The candidate's last write may have taken effect.
    UNSETTLED = "unsettled"
    # The record has a later revision than the one observed.
    OUTDATED = "outdated"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Term:
    """A time in which the candidate is the holder without a break."""

    # The store revision of the write that won the lease.
    fencing_number: int
    # When the validity of the last confirmed write ends.
    valid_until_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """A write whose effect the candidate does not know yet."""

    # The sequence in its record.
    sequence: int
    # When it was sent; its validity counts from here.
    sent_ms: int
    # The revision that it replaces.
    expected_revision: int
    # Whether it gives the lease up.
    released: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseCounters:
    """What became of the lease from the candidate's point of view."""

    # Terms begun.
    terms: int = 0
    # Terms whose validity ended before a renewal was confirmed.
    lapses: int = 0
    # Writes that lost to another write.
    conflicts: int = 0
    # Calls without an answer from the store.
    failures: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseState:
    """Everything that a candidate knows and waits for."""

    # How the lease is held.
    terms: LeaseTerms
    # The sequence of the last write.
    sequence: int = 0
    # What is known of the record; None before the first read.
    observed: Observation | None = None
    # Why the record must be read again, if it must.
    recheck: Recheck = Recheck.NONE
    # The time as holder; may have lapsed.
    term: Term | None = None
    # The write sent last, until its effect is known.
    attempt: Attempt | None = None
    # Whether a call is on its way; there is one at a time.
    is_calling: bool = False
    # When the next call is due.
    due_ms: int = 0
    # Whether the candidate gives the lease up.
    is_releasing: bool = False
    # Whether it has been given up.
    is_released: bool = False
    # Totals for operators.
    counters: LeaseCounters = LeaseCounters()

    def fencing_number(self, now_ms: int) -> int | None:
        """Returns the fencing number of a term that is valid now.

        Ask at the moment of acting: after a pause the answer is None.
        """
        if self.term is None or self.is_releasing:
            return None
        if now_ms >= self.term.valid_until_ms - self.terms.margin_ms:
            return None
        return self.term.fencing_number
