"""Pauses a roll-out whose version proved harmful on this node."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import logbook
import pykka
from returns.result import Success

from trefoilpitch.clock import Clock
from trefoilpitch.configuration import (
    ChangeRefusedError,
    CommitError,
    Committed,
    ConfigurationWriter,
    PauseRollout,
    RevisionConflictError,
)
from trefoilpitch.metrics import Metrics
from trefoilpitch.serving import RolloutHarm, VersionMonitor
from trefoilpitch.supervision import Tick

# The author of the changes that nodes make by themselves.
AUTHOR = "trefoilpitchd"
ROLLOUT_TICK_MS = 1_000
# Tries of one change that the store does not take.
MAX_TRIES = 10

_FIRST_WAIT_MS = 1_000
_MAX_WAIT_MS = 60_000

_LOG = logbook.Logger("trefoilpitch.rollouts")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Attempts:
    # Tries so far.
    count: int = 0
    # When the next one is due; None if there is to be none.
    next_ms: int | None = 0


class RolloutGuard:
    """Commits pauses as an operator would; use it from one thread.

    Each change names the revision that it was judged at. If operators or
    another node changed the configuration first, nothing is committed, and
    the harm is judged again at the newer revision.

    Args:
        version_monitor: Tells of harm.
        writer: Commits changes; not shared.
        accepts_changes: Returns whether this node may commit changes now.
        take_in: Puts a commit in force here, with the time it was sent at.
        count_nodes: Returns how many nodes judge by their own outcomes.
        clock: Spaces tries.
        metrics: Counts what became of changes.
    """

    def __init__(
        self,
        version_monitor: VersionMonitor,
        *,
        writer: ConfigurationWriter,
        accepts_changes: Callable[[], bool],
        take_in: Callable[[Committed, int], None],
        count_nodes: Callable[[], int],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._version_monitor = version_monitor
        self._writer = writer
        self._accepts_changes = accepts_changes
        self._take_in = take_in
        self._count_nodes = count_nodes
        self._clock = clock
        self._metrics = metrics
        self._attempts: dict[str, _Attempts] = {}

    def act(self) -> None:
        """Tries the pauses that are due now."""
        changes = {
            _change_id(harm): harm
            for harm in self._version_monitor.harmful_rollouts(
                self._count_nodes()
            )
        }
        self._attempts = {
            change_id: self._attempts.get(change_id, _Attempts())
            for change_id in changes
        }
        for change_id, harm in changes.items():
            if self._is_due(change_id) and self._accepts_changes():
                self._pause(change_id, harm)

    def _is_due(self, change_id: str) -> bool:
        next_ms = self._attempts[change_id].next_ms
        return next_ms is not None and next_ms <= self._clock.now_ms()

    def _pause(self, change_id: str, harm: RolloutHarm) -> None:
        change = PauseRollout(
            change_id=change_id, author=AUTHOR, model=harm.state.model
        )
        sent_ms = self._clock.now_ms()
        committed = self._writer.commit(
            change,
            expected_revision=harm.revision,
            known_revision=harm.revision,
        )
        if isinstance(committed, Success):
            self._settle(change_id)
            self._note_done(harm, committed.unwrap())
            self._take_in(committed.unwrap(), sent_ms)
        else:
            self._note_failure(change_id, harm, committed.failure())

    def _note_done(self, harm: RolloutHarm, done: Committed) -> None:
        if done.is_repeated:
            self._metrics.count("rollout_pauses_repeated")
            return
        self._metrics.count("rollout_pauses")
        _LOG.warning(
            "paused the roll-out of {} to {} at step {}: {}",
            harm.state.model,
            harm.state.to_version,
            harm.state.step,
            harm.reason.value,
        )

    def _note_failure(
        self, change_id: str, harm: RolloutHarm, error: CommitError
    ) -> None:
        if isinstance(error, ChangeRefusedError | RevisionConflictError):
            self._metrics.count("rollout_pauses_dropped")
            self._settle(change_id)
            return
        self._metrics.count("rollout_pause_failures")
        count = self._attempts[change_id].count + 1
        if count >= MAX_TRIES:
            self._settle(change_id)
            self._metrics.count("rollout_pauses_given_up")
            _LOG.error(
                "cannot pause the roll-out of {}: {}", harm.state.model, error
            )
            return
        wait_ms = min(_FIRST_WAIT_MS * 2 ** (count - 1), _MAX_WAIT_MS)
        self._attempts[change_id] = _Attempts(
            count=count, next_ms=self._clock.now_ms() + wait_ms
        )

    def _settle(self, change_id: str) -> None:
        """Ends the tries of one change; a newer revision brings another."""
        self._attempts[change_id] = _Attempts(next_ms=None)


class RolloutActor(pykka.ThreadingActor):
    """Lets the guard act on each tick.

    Args:
        guard: Pauses roll-outs; outlives the actor.
    """

    def __init__(self, guard: RolloutGuard) -> None:
        super().__init__()
        self._guard = guard

    def on_receive(self, message: object) -> None:
        """Tries the pauses that are due."""
        if isinstance(message, Tick):
            self._guard.act()


def _change_id(harm: RolloutHarm) -> str:
    """Returns the id that all nodes give to a verdict at one revision.

    The revision tells a verdict from one that operators have overruled.
    """
    state = harm.state
    verdict = f"{state.model}:step-{state.step}:{harm.reason.value}"
    return f"pause:r{harm.revision}:{verdict}"
