"""The state of a daemon as a user of upstreams."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from trefoilpitch.bundle import Upstream
from trefoilpitch.coldstart._account import Account
from trefoilpitch.coldstart._events import HolderAction
from trefoilpitch.coldstart._rendezvous import Roster
from trefoilpitch.coldstart._settings import ColdStartSettings


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HolderState:
    """What one daemon knows as a user of upstreams."""

    # Intervals and limits.
    settings: ColdStartSettings
    # Every upstream of the bundle, by name.
    upstreams: Mapping[str, Upstream] = dataclasses.field(default_factory=dict)
    # The latest view; ``None`` before the first.
    roster: Roster | None = None
    # Evidence, credits and demand by upstream name.
    accounts: Mapping[str, Account] = dataclasses.field(default_factory=dict)
    # The number of the next request.
    next_sequence: int = 1


HolderOutcome = tuple[HolderState, tuple[HolderAction, ...]]


def create_holder(settings: ColdStartSettings | None = None) -> HolderState:
    """Builds the state of a daemon that just started."""
    return HolderState(settings=settings or ColdStartSettings())


def with_account(
    state: HolderState, name: str, account: Account
) -> HolderState:
    """Replaces what is known of one upstream."""
    return dataclasses.replace(
        state, accounts={**state.accounts, name: account}
    )
