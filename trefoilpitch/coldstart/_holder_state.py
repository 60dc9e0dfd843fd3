"""The state of a daemon in its role as a holder of credits."""

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
    """One daemon's state in its role as a holder of credits."""

    # Intervals and limits.
    settings: ColdStartSettings
    # Every upstream of the bundle, by name.
    upstreams: Mapping[str, Upstream] = dataclasses.field(default_factory=dict)
    # Made from the latest membership view; ``None`` before the first.
    roster: Roster | None = None
    # Accounts by upstream name.
    accounts: Mapping[str, Account] = dataclasses.field(default_factory=dict)
    # The sequence number of the next request for credits.
    next_sequence: int = 1


HolderOutcome = tuple[HolderState, tuple[HolderAction, ...]]


def create_holder(settings: ColdStartSettings | None = None) -> HolderState:
    """Builds the state of a daemon that just started."""
    return HolderState(settings=settings or ColdStartSettings())


def with_account(
    state: HolderState, name: str, account: Account
) -> HolderState:
    """Returns the state with the account of one upstream replaced."""
    return dataclasses.replace(
        state, accounts={**state.accounts, name: account}
    )
