"""The state of a daemon in its role as a gatekeeper."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from trefoilpitch.bundle import Upstream
from trefoilpitch.coldstart._events import SendFromGatekeeper
from trefoilpitch.coldstart._ledger import Ledger
from trefoilpitch.coldstart._rendezvous import Roster
from trefoilpitch.coldstart._settings import ColdStartSettings


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GatekeeperState:
    """One daemon's state in its role as a gatekeeper."""

    # Intervals and limits.
    settings: ColdStartSettings
    # This process's incarnation.
    incarnation: str
    # Every upstream of the bundle, by name.
    upstreams: Mapping[str, Upstream] = dataclasses.field(default_factory=dict)
    # Made from the latest membership view; ``None`` before the first.
    roster: Roster | None = None
    # Ledgers by upstream name, for upstreams that reported their load or were
    # assigned to this daemon.
    ledgers: Mapping[str, Ledger] = dataclasses.field(default_factory=dict)
    # Upstreams that this daemon is the gatekeeper of, according to the latest
    # view; ``None`` if that view was unsettled or too old.
    assigned: frozenset[str] | None = None
    # The number of the next credit that this process grants.
    next_number: int = 1


GatekeeperOutcome = tuple[GatekeeperState, tuple[SendFromGatekeeper, ...]]


def create_gatekeeper(
    incarnation: str, settings: ColdStartSettings | None = None
) -> GatekeeperState:
    """Builds the state of a daemon that just started."""
    return GatekeeperState(
        settings=settings or ColdStartSettings(), incarnation=incarnation
    )


def is_acting(state: GatekeeperState, upstream: str, now_ms: int) -> bool:
    """Tells whether this daemon may grant credits for an upstream now.

    After a pause this is false until the daemon has observed a new view.
    """
    ledger = state.ledgers.get(upstream)
    if ledger is None or ledger.tenure_ms is None or state.roster is None:
        return False
    age_ms = now_ms - state.roster.view.as_of_ms
    return age_ms <= state.settings.view_age_limit_ms


def with_ledger(
    state: GatekeeperState, name: str, ledger: Ledger
) -> GatekeeperState:
    """Returns the state with the ledger of one upstream replaced."""
    return dataclasses.replace(state, ledgers={**state.ledgers, name: ledger})
