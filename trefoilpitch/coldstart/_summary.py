"""What operators see of cold starts on one daemon."""

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
    """What a daemon does as the gatekeeper of an upstream."""

    # Another daemon is the gatekeeper, or this one's view is not good enough.
    IDLE = "idle"
    # It waits until the work of earlier credits is void or known.
    TAKING_OVER = "taking_over"
    # It grants credits.
    RAMPING = "ramping"
    # It tells holders that no credits are needed.
    WARM = "warm"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GatekeeperSummary:
    """One upstream, as its gatekeeper sees it."""

    # The upstream's name.
    upstream: str
    # What this daemon does for it.
    phase: GatekeeperPhase
    # The upstream's incarnation; empty if no recent report tells.
    incarnation: str
    # Credits that are not given back.
    outstanding: int
    # Credits that may be granted now.
    available: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HolderSummary:
    """One upstream, as a daemon that uses it sees it."""

    # The upstream's name.
    upstream: str
    # Whether it takes work on credits only.
    is_cold: bool
    # Pieces of work that wait for admission.
    waiting: int
    # Credits not used yet.
    unused: int
    # Credits whose work is running, or may run on after it was left.
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
            running=len(account.running) + len(account.left),
        )
        for name, account in sorted(state.accounts.items())
    )


def _phase(
    state: GatekeeperState, name: str, ledger: Ledger, now_ms: int
) -> GatekeeperPhase:
    if not is_acting(state, name, now_ms):
        return GatekeeperPhase.IDLE
    if ledger.inherited is None:
        return GatekeeperPhase.TAKING_OVER
    if is_warm(ledger, state.upstreams[name]):
        return GatekeeperPhase.WARM
    return GatekeeperPhase.RAMPING
