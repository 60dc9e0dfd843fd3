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
from trefoilpitch.orders._runner import (
    Reconciler,
    Submit,
    reconciler,
    run_inline,
)
from trefoilpitch.orders._scope import EngineScope
from trefoilpitch.orders._state import ReconcilerState
from trefoilpitch.orders._types import EngineControl, ReconcilerSettings
from trefoilpitch.store import KeyValueStore


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ScopeState:
    """Snapshot of one scope, for state dumps."""

    lease: LeaseState
    reconciler: ReconcilerState


@dataclasses.dataclass(slots=True)
class _Candidacy:
    """A scope for whose lease the process is a candidate."""

    # Acquires and renews the scope's lease.
    manager: LeaseManager
    # Sends orders to the scope's engines while the lease is valid.
    reconciler: Reconciler
    # When the lease manager is polled next.
    due_ms: int


class OrderService:
    """Controls the engines of each scope whose lease it holds.

    A context manager that releases its leases on exit. Everything but `states`
    must be used from one thread.

    Args:
        store: Stores the leases.
        control: Reads and orders the engines.
        clock: Monotonic time.
        lease_terms: Holder name and intervals of the leases.
        reconciler_settings: Intervals and limits of each scope's reconciler.
        submit: Runs a call to an engine, possibly on another thread.
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
        self._holder_numbers = itertools.count(1)

    @property
    def states(self) -> Mapping[EngineScope, ScopeState]:
        """Immutable snapshots by scope; may be read from any thread."""
        return {
            scope: ScopeState(
                lease=candidacy.manager.state,
                reconciler=candidacy.reconciler.state,
            )
            for scope, candidacy in tuple(self._candidacies.items())
        }

    def set_configuration(self, configuration: Configuration) -> None:
        """Sets the configuration that the engines are reconciled with."""
        self._configuration = configuration
        for candidacy in self._candidacies.values():
            candidacy.reconciler.set_configuration(configuration)

    def set_scopes(self, scopes: Iterable[EngineScope]) -> None:
        """Sets the scopes to be a candidate for; releases other leases."""
        wanted = set(scopes)
        for scope in self._candidacies.keys() - wanted:
            self._candidacies.pop(scope).manager.release()
        for scope in wanted - self._candidacies.keys():
            self._candidacies[scope] = self._create_candidacy(scope)

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

    def _create_candidacy(self, scope: EngineScope) -> _Candidacy:
        # Each lease manager gets a holder name of its own. Otherwise a new
        # manager would take the lease record of an earlier one, whose release
        # was lost, for its own.
        holder = f"{self._lease_terms.holder}/{next(self._holder_numbers)}"
        manager = lease_manager(
            store=self._store,
            clock=self._clock,
            key=scope.lease_key,
            terms=dataclasses.replace(self._lease_terms, holder=holder),
        )
        scope_reconciler = reconciler(
            control=self._control,
            clock=self._clock,
            fencing_number=manager.fencing_number,
            submit=self._submit,
            settings=self._reconciler_settings,
            scope=scope,
        )
        scope_reconciler.set_configuration(self._configuration)
        return _Candidacy(manager, scope_reconciler, self._clock.now_ms())


def order_service(
    *,
    store: KeyValueStore,
    control: EngineControl,
    clock: Clock,
    lease_terms: LeaseTerms,
    reconciler_settings: ReconcilerSettings | None = None,
    submit: Submit = run_inline,
) -> OrderService:
    """Creates a service that is not yet a candidate for any scope.

    Args:
        store: Stores the leases.
        control: Reads and orders the engines.
        clock: Monotonic time.
        lease_terms: Holder name and intervals of the leases.
        reconciler_settings: Intervals and limits of each scope's reconciler;
            the defaults if absent.
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
