"""Runs the reconcilers of every scope that a process is a candidate for."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterable, Mapping
from types import TracebackType
from typing import Self

from trefoilpitch.clock import Clock
from trefoilpitch.configuration import EMPTY_CONFIGURATION, Configuration
from trefoilpitch.leases import (
    LeaseManager,
    LeaseState,
    LeaseTerms,
    lease_manager,
)
from trefoilpitch.orders._runner import Reconciler, Submit, reconciler, run_now
from trefoilpitch.orders._scope import EngineScope
from trefoilpitch.orders._state import ReconcilerState
from trefoilpitch.orders._types import EngineControl, ReconcilerSettings
from trefoilpitch.store import KeyValueStore


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ScopeState:
    """What a process knows of one scope, for dumps."""

    # Its lease.
    lease: LeaseState
    # Its engines.
    reconciler: ReconcilerState


@dataclasses.dataclass(slots=True)
class _Candidacy:
    """One scope that the process is a candidate for."""

    # Holds the scope's lease.
    manager: LeaseManager
    # Orders the scope's engines while the lease is valid.
    reconciler: Reconciler
    # When the lease's next call is due.
    due_ms: int


class OrderService:
    """Gives orders in each scope whose lease it holds; a context manager.

    Use all but `states` from one thread. Leaving it releases its leases.

    Args:
        store: Holds the leases.
        control: Reaches the engines.
        clock: Monotonic time.
        lease_terms: How the leases are held.
        reconciler_settings: Intervals and limits of each scope's reconciler.
        submit: Runs a call to an engine.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        control: EngineControl,
        clock: Clock,
        lease_terms: LeaseTerms,
        reconciler_settings: ReconcilerSettings,
        submit: Submit,
    ) -> None:
        self._store = store
        self._control = control
        self._clock = clock
        self._lease_terms = lease_terms
        self._reconciler_settings = reconciler_settings
        self._submit = submit
        self._configuration = EMPTY_CONFIGURATION
        self._candidacies: dict[EngineScope, _Candidacy] = {}
        self._numbers = itertools.count(1)

    @property
    def states(self) -> Mapping[EngineScope, ScopeState]:
        """Immutable snapshots by scope, for dumps on any thread."""
        return {
            scope: ScopeState(
                lease=candidacy.manager.state,
                reconciler=candidacy.reconciler.state,
            )
            for scope, candidacy in tuple(self._candidacies.items())
        }

    def set_configuration(self, configuration: Configuration) -> None:
        """Has the engines brought to another configuration."""
        self._configuration = configuration
        for candidacy in self._candidacies.values():
            candidacy.reconciler.set_configuration(configuration)

    def set_scopes(self, scopes: Iterable[EngineScope]) -> None:
        """Sets the scopes to be a candidate for; releases the others."""
        wanted = set(scopes)
        for scope in self._candidacies.keys() - wanted:
            self._candidacies.pop(scope).manager.release()
        for scope in wanted - self._candidacies.keys():
            self._candidacies[scope] = self._candidacy(scope)

    def poll(self) -> None:
        """Makes the calls that are due; call it several times a second."""
        for candidacy in self._candidacies.values():
            if self._clock.now_ms() >= candidacy.due_ms:
                candidacy.due_ms = candidacy.manager.poll()
            candidacy.reconciler.poll()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.set_scopes(())

    def _candidacy(self, scope: EngineScope) -> _Candidacy:
        # A keeper that begins anew must not take an earlier one's record for
        # its own: that one's release may have been lost.
        holder = f"{self._lease_terms.holder}/{next(self._numbers)}"
        manager = lease_manager(
            store=self._store,
            clock=self._clock,
            key=scope.lease_key,
            terms=dataclasses.replace(self._lease_terms, holder=holder),
        )
        subject = reconciler(
            control=self._control,
            clock=self._clock,
            fencing_number=manager.fencing_number,
            submit=self._submit,
            terms=self._reconciler_settings,
            scope=scope,
        )
        subject.set_configuration(self._configuration)
        return _Candidacy(manager, subject, self._clock.now_ms())


def order_service(
    *,
    store: KeyValueStore,
    control: EngineControl,
    clock: Clock,
    lease_terms: LeaseTerms,
    reconciler_settings: ReconcilerSettings | None = None,
    submit: Submit = run_now,
) -> OrderService:
    """Creates a service that is a candidate for no scope yet.

    Args:
        store: Holds the leases.
        control: Reaches the engines.
        clock: Monotonic time.
        lease_terms: How the leases are held.
        reconciler_settings: Intervals and limits of each scope's reconciler.
        submit: Runs a call to an engine; by default on the polling thread.
    """
    return OrderService(
        store=store,
        control=control,
        clock=clock,
        lease_terms=lease_terms,
        reconciler_settings=reconciler_settings or ReconcilerSettings(),
        submit=submit,
    )
