"""Runs a reconciler's state machine against engines."""

from __future__ import annotations

import collections
import threading
from collections.abc import Callable

from returns.result import Result, Success

from trefoilpitch.clock import Clock
from trefoilpitch.configuration import Configuration
from trefoilpitch.orders._events import (
    Action,
    CallFailed,
    ConfigurationChanged,
    Event,
    OrderAccepted,
    ReadStatus,
    SendOrder,
    StatusRead,
    TermBegan,
    TermEnded,
    Tick,
)
from trefoilpitch.orders._exceptions import OrderError, OrderNotSentError
from trefoilpitch.orders._machine import step
from trefoilpitch.orders._scope import EngineScope
from trefoilpitch.orders._state import ReconcilerState, initial_state
from trefoilpitch.orders._types import EngineControl, ReconcilerSettings

Submit = Callable[[Callable[[], None]], object]


class Reconciler:
    """Orders engines while its lease is valid.

    `poll` takes in what happened and starts the calls that follow. The calls
    run where `submit` runs them; their replies wait for the next `poll`.

    Args:
        control: Reaches the engines.
        clock: Monotonic time.
        fencing_number: Tells the lease's number if it is valid right now.
        submit: Runs a call, perhaps on another thread.
        terms: Paces the calls and loads.
        scope: The engines to order; every engine if absent.
    """

    def __init__(
        self,
        *,
        control: EngineControl,
        clock: Clock,
        fencing_number: Callable[[], int | None],
        submit: Submit,
        terms: ReconcilerSettings,
        scope: EngineScope | None,
    ) -> None:
        self._control = control
        self._clock = clock
        self._fencing_number = fencing_number
        self._submit = submit
        self._polling = threading.Lock()
        self._inbox: collections.deque[Event] = collections.deque()
        self._lease_number: int | None = None
        self._state = initial_state(terms, clock.now_ms(), scope)

    @property
    def state(self) -> ReconcilerState:
        """An immutable snapshot, for dumps."""
        return self._state

    def set_configuration(self, configuration: Configuration) -> None:
        """Tells of the configuration in force; taken in by the next poll."""
        self._inbox.append(ConfigurationChanged(configuration=configuration))

    def poll(self) -> None:
        """Takes in what happened and starts the calls that follow."""
        with self._polling:
            self._follow_lease()
            self._step(Tick())
            while self._inbox:
                self._step(self._inbox.popleft())

    def _follow_lease(self) -> None:
        """Begins and ends terms with the lease."""
        number = self._fencing_number()
        if number == self._lease_number:
            return
        self._lease_number = number
        if number is None:
            self._step(TermEnded())
        else:
            self._step(TermBegan(fencing_number=number))

    def _step(self, event: Event) -> None:
        now_ms = self._clock.now_ms()
        self._state, actions = step(self._state, event, now_ms)
        for action in actions:
            self._start(action)

    def _start(self, action: Action) -> None:
        started_ms = self._clock.now_ms()
        self._submit(
            lambda: self._inbox.append(self._perform(action, started_ms))
        )

    def _perform(self, action: Action, started_ms: int) -> Event:
        """Makes a call, unless it has waited too long to be made."""
        waited_ms = self._clock.now_ms() - started_ms
        terms = self._state.terms
        if isinstance(action, ReadStatus):
            if waited_ms >= terms.call_timeout_ms:
                return _not_sent(action, "the call waited too long")
            return self._read(action)
        if waited_ms > terms.max_status_age_ms:
            return _not_sent(action, "the order waited too long")
        return self._order(action)

    def _read(self, action: ReadStatus) -> Event:
        result = self._control.read_status(action.upstream)
        if isinstance(result, Success):
            return StatusRead(
                engine=action.upstream.name,
                call_id=action.call_id,
                status=result.unwrap(),
            )
        return _failed(action, result)

    def _order(self, action: SendOrder) -> Event:
        """Sends an order unless the lease has ended since it was decided."""
        if self._fencing_number() != action.order.fencing_number:
            return _not_sent(action, "the lease is not valid")
        result = self._control.send_order(action.upstream, action.order)
        if isinstance(result, Success):
            return OrderAccepted(
                engine=action.upstream.name, call_id=action.call_id
            )
        return _failed(action, result)


def _not_sent(action: Action, detail: str) -> CallFailed:
    return CallFailed(
        engine=action.upstream.name,
        call_id=action.call_id,
        error=OrderNotSentError(detail=detail),
    )


def _failed(action: Action, result: Result[object, OrderError]) -> CallFailed:
    return CallFailed(
        engine=action.upstream.name,
        call_id=action.call_id,
        error=result.failure(),
    )


def run_now(call: Callable[[], None]) -> None:
    """Runs a call at once, on the polling thread."""
    call()


def reconciler(
    *,
    control: EngineControl,
    clock: Clock,
    fencing_number: Callable[[], int | None],
    submit: Submit = run_now,
    terms: ReconcilerSettings | None = None,
    scope: EngineScope | None = None,
) -> Reconciler:
    """Creates a reconciler that knows no engine yet.

    Args:
        control: Reaches the engines.
        clock: Monotonic time.
        fencing_number: Tells the lease's number if it is valid right now.
        submit: Runs a call; by default at once, on the polling thread.
        terms: Paces the calls and loads.
        scope: The engines to order; every engine if absent.
    """
    return Reconciler(
        control=control,
        clock=clock,
        fencing_number=fencing_number,
        submit=submit,
        terms=terms or ReconcilerSettings(),
        scope=scope,
    )
