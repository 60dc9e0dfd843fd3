"""Work that a gatekeeper counts against an upstream's limit."""

from __future__ import annotations

import dataclasses

from trefoilpitch.coldstart._messages import HandedOverCredit


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutstandingCredit:
    """A credit that was granted and not returned."""

    # The holder's process incarnation.
    holder: str
    # The sequence number of the holder's request.
    sequence: int
    # The upstream incarnation that it is valid for; empty if unknown.
    upstream_incarnation: str
    # Time from which its work can't be running any more, even if the holder
    # crashed or is unreachable.
    release_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UntrackedWork:
    """Work that may be running without an outstanding credit in the ledger.

    It began before the tenure, or while the upstream was warm.
    """

    # Pieces of work that may still be running.
    count: int
    # Time from which none can be running any more.
    release_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndedTenure:
    """State that a former gatekeeper keeps to hand over to its successor."""

    # When it stopped granting credits.
    ended_ms: int
    # Credits that are in use or may still be used.
    credits: tuple[HandedOverCredit, ...]
    # Pieces of untracked work, such as that of still earlier gatekeepers, that
    # may be running.
    untracked: int
    # The upstream's incarnation, and its successes so far on the ramp.
    incarnation: str
    successes: int
    # The process incarnation and tenure that it was handed to; only they may
    # get it again. None if it was not handed over yet.
    successor: tuple[str, int] | None = None
