"""Work that a gatekeeper has to expect on an upstream."""

from __future__ import annotations

import dataclasses

from trefoilpitch.coldstart._messages import HandedCredit


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutstandingCredit:
    """A credit that was granted and not given back."""

    # The holder's process incarnation.
    holder: str
    # The holder's request.
    sequence: int
    # The upstream's incarnation that it is for; empty if unknown.
    upstream_incarnation: str
    # When its work can't be running any more, whatever became of the holder.
    release_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InheritedWork:
    """Work that began on other terms than a credit of this tenure."""

    # How many pieces may still be running.
    count: int
    # When none can be running any more.
    release_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Parting:
    """What a gatekeeper left when another member took its place."""

    # When it stopped granting.
    parted_ms: int
    # Credits that may be in use or put to use.
    credits: tuple[HandedCredit, ...]
    # Pieces of work of still earlier gatekeepers that may be running.
    inherited: int
    # How far the ramp had come.
    incarnation: str
    successes: int
    # The incarnation and tenure that it was handed to; only they get it again.
    heir: tuple[str, int] | None = None
