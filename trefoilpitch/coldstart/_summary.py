"""Summaries of cold starts on one daemon, for operators."""

from __future__ import annotations

import dataclasses
import enum

from trefoilpitch.coldstart._gatekeeper_state import GatekeeperState, is_acting
from trefoilpitch.coldstart._holder import is_cold
from trefoilpitch.coldstart._holder_state import HolderState
from trefoilpitch.coldstart._ledger import (
    Ledger,
    available_credits,
    is_warm,
)


class GatekeeperPhase(enum.Enum):
    """The phase of a daemon's work as the gatekeeper of an upstream."""

    # Another daemon is the gatekeeper, or this one's view is too old,
    # unsettled or without a quorum.
    IDLE = "idle"
    # It waits until earlier credits have expired and their work is known.
    TAKING_OVER = "taking_over"
    # It grants credits.
    RAMPING = "ramping"
    # It tells holders that no credits are needed.
    WARM = "warm"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GatekeeperSummary:
    """One upstream, as seen by its gatekeeper."""

    # The upstream's name.
    upstream: str
    phase: GatekeeperPhase
    # The upstream's incarnation; empty if there is no recent report.
    incarnation: str
    # Credits that were granted and not returned.
    outstanding: int
    # Credits that may be granted now.
    available: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HolderSummary:
    """One upstream, as seen by a daemon that sends work to it."""

    # The upstream's name.
    upstream: str
    # Whether work for it needs a credit.
    is_cold: bool
    # Pieces of work that wait for admission.
    waiting: int
    # Credits that are not used yet.
    unused: int
    # Credits whose work is in flight, or was abandoned and may still run.
    running: int


def summarize_gatekeeper(
    state: GatekeeperState, now_ms: int
) -> tuple[GatekeeperSummary, ...]:
    """Returns a summary of every upstream, by name."""
    return tuple(
        GatekeeperSummary(
            upstream=name,
            phase=_phase(state, name, ledger, now_ms),
            incarnation=ledger.incarnation,
            outstanding=len(ledger.outstanding),
            available=available_credits(ledger, state.upstreams[name]),
        )
        for name, ledger in sorted(state.ledgers.items())
    )


def summarize_holder(
    state: HolderState, now_ms: int
) -> tuple[HolderSummary, ...]:
    """Returns a summary of every upstream that was used, by name."""
    return tuple(
        HolderSummary(
            upstream=name,
            is_cold=is_cold(state, name, now_ms),
            waiting=account.waiting,
            unused=len(account.unused),
            running=len(account.running) + len(account.abandoned),
        )
        for name, account in sorted(state.accounts.items())
    )


def _phase(
    state: GatekeeperState, name: str, ledger: Ledger, now_ms: int
) -> GatekeeperPhase:
    if not is_acting(state, name, now_ms):
        return GatekeeperPhase.IDLE
    if ledger.untracked is None:
        return GatekeeperPhase.TAKING_OVER
    if is_warm(ledger, state.upstreams[name]):
        return GatekeeperPhase.WARM
    return GatekeeperPhase.RAMPING
