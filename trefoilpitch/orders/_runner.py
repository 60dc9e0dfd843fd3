"""Runs a reconciler's state machine and its calls to engines."""

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
    LeaseAcquired,
    LeaseLost,
    OrderAccepted,
    ReadStatus,
    SendOrder,
    StatusRead,
    Tick,
)
from trefoilpitch.orders._exceptions import OrderError, OrderNotSentError
from trefoilpitch.orders._machine import step
from trefoilpitch.orders._scope import EngineScope
from trefoilpitch.orders._state import ReconcilerState, initial_state
from trefoilpitch.orders._types import EngineControl, ReconcilerSettings

Submit = Callable[[Callable[[], None]], object]


class Reconciler:
    """Sends orders to engines while its lease is valid.

    `poll` applies queued events and starts the resulting calls. `submit`
    decides where the calls run; their results are queued for the next `poll`.

    Args:
        control: Reads and orders the engines.
        clock: Monotonic time.
        fencing_number: Returns the lease's fencing number, or None if the
            lease is not valid now.
        submit: Runs a call, possibly on another thread.
        settings: Intervals and limits.
        scope: The engines to control; every engine if absent.
    """

    def __init__(
        self,
        *,
        control: EngineControl,
        clock: Clock,
        fencing_number: Callable[[], int | None],
        submit: Submit,
        settings: ReconcilerSettings,
        scope: EngineScope | None,
    ) -> None:
        self._control = control
        self._clock = clock
        self._fencing_number = fencing_number
        self._submit = submit
        self._poll_lock = threading.Lock()
        self._inbox: collections.deque[Event] = collections.deque()
        self._last_fencing_number: int | None = None
        self._state = initial_state(settings, clock.now_ms(), scope)

    @property
    def state(self) -> ReconcilerState:
        """An immutable snapshot of the state, for state dumps."""
        return self._state

    def set_configuration(self, configuration: Configuration) -> None:
        """Queues a new configuration, which the next poll applies."""
        self._inbox.append(ConfigurationChanged(configuration=configuration))

    def poll(self) -> None:
        """Applies queued events and starts the resulting calls."""
        with self._poll_lock:
            self._update_lease()
            self._step(Tick())
            while self._inbox:
                self._step(self._inbox.popleft())

    def _update_lease(self) -> None:
        """Applies a change of the lease since the last poll."""
        fencing_number = self._fencing_number()
        if fencing_number == self._last_fencing_number:
            return
        self._last_fencing_number = fencing_number
        if fencing_number is None:
            self._step(LeaseLost())
        else:
            self._step(LeaseAcquired(fencing_number=fencing_number))

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
        """Makes a call unless it was queued too long before it could start."""
        waited_ms = self._clock.now_ms() - started_ms
        settings = self._state.settings
        if isinstance(action, ReadStatus):
            if waited_ms >= settings.call_timeout_ms:
                return _not_sent(
                    action, "the read was not started within call_timeout_ms"
                )
            return self._read_status(action)
        if waited_ms > settings.max_status_age_ms:
            return _not_sent(
                action, "the order was not started within max_status_age_ms"
            )
        return self._send_order(action)

    def _read_status(self, action: ReadStatus) -> Event:
        result = self._control.read_status(action.upstream)
        if isinstance(result, Success):
            return StatusRead(
                engine=action.upstream.name,
                call_id=action.call_id,
                status=result.unwrap(),
            )
        return _call_failed(action, result)

    def _send_order(self, action: SendOrder) -> Event:
        """Sends an order if the lease with which it was decided is valid."""
        if self._fencing_number() != action.order.fencing_number:
            return _not_sent(action, "the lease is no longer valid")
        result = self._control.send_order(action.upstream, action.order)
        if isinstance(result, Success):
            return OrderAccepted(
                engine=action.upstream.name, call_id=action.call_id
            )
        return _call_failed(action, result)


def _not_sent(action: Action, detail: str) -> CallFailed:
    return CallFailed(
        engine=action.upstream.name,
        call_id=action.call_id,
        error=OrderNotSentError(detail=detail),
    )


def _call_failed(
    action: Action, result: Result[object, OrderError]
) -> CallFailed:
    return CallFailed(
        engine=action.upstream.name,
        call_id=action.call_id,
        error=result.failure(),
    )


def run_inline(call: Callable[[], None]) -> None:
    """Runs a call synchronously, on the polling thread."""
    call()


def reconciler(
    *,
    control: EngineControl,
    clock: Clock,
    fencing_number: Callable[[], int | None],
    submit: Submit = run_inline,
    settings: ReconcilerSettings | None = None,
    scope: EngineScope | None = None,
) -> Reconciler:
    """Creates a reconciler without a configuration.

    Args:
        control: Reads and orders the engines.
        clock: Monotonic time.
        fencing_number: Returns the lease's fencing number, or None if the
            lease is not valid now.
        submit: Runs a call; by default synchronously, on the polling thread.
        settings: Intervals and limits; the defaults if absent.
        scope: The engines to control; every engine if absent.
    """
    return Reconciler(
        control=control,
        clock=clock,
        fencing_number=fencing_number,
        submit=submit,
        settings=settings or ReconcilerSettings(),
        scope=scope,
    )
