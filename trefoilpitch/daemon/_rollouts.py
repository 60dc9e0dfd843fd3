"""Pauses roll-outs whose new version is harmful on this node."""

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

# Recorded as the author of changes that nodes make automatically.
AUTHOR = "trefoilpitchd"
ROLLOUT_TICK_MS = 1_000
# Attempts to commit one change before it is abandoned.
MAX_ATTEMPTS = 10

_INITIAL_BACKOFF_MS = 1_000
_MAX_BACKOFF_MS = 60_000

_LOG = logbook.Logger("trefoilpitch.rollouts")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Attempts:
    # Failed attempts so far.
    count: int = 0
    # When the next attempt is due; None if there is none.
    next_ms: int | None = 0


class RolloutGuard:
    """Commits pauses of harmful roll-outs; not thread-safe.

    Each change expects the revision at which the harm was found. If operators
    or another node changed the configuration in the meantime, the change is
    dropped and the harm is evaluated again at the newer revision.

    Args:
        version_monitor: Detects harmful roll-outs.
        writer: Commits changes; not shared.
        accepts_changes: Returns whether this node may commit changes now.
        apply_commit: Applies a commit on this node, given its send time.
        count_nodes: Returns how many nodes evaluate their own outcomes.
        clock: Times attempts.
        metrics: Counts changes by outcome.
    """

    def __init__(
        self,
        version_monitor: VersionMonitor,
        *,
        writer: ConfigurationWriter,
        accepts_changes: Callable[[], bool],
        apply_commit: Callable[[Committed, int], None],
        count_nodes: Callable[[], int],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._version_monitor = version_monitor
        self._writer = writer
        self._accepts_changes = accepts_changes
        self._apply_commit = apply_commit
        self._count_nodes = count_nodes
        self._clock = clock
        self._metrics = metrics
        self._attempts: dict[str, _Attempts] = {}

    def attempt_due_pauses(self) -> None:
        """Attempts the pauses that are due now."""
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
            self._stop_attempts(change_id)
            self._record_commit(harm, committed.unwrap())
            self._apply_commit(committed.unwrap(), sent_ms)
        else:
            self._record_failure(change_id, harm, committed.failure())

    def _record_commit(self, harm: RolloutHarm, done: Committed) -> None:
        if done.is_repeated:
            self._metrics.count("rollout_pauses_repeated")
            return
        self._metrics.count("rollout_pauses")
        _LOG.warning(
            "paused the roll-out of model {} to version {} at step {}: {}",
            harm.state.model,
            harm.state.to_version,
            harm.state.step,
            harm.reason.value,
        )

    def _record_failure(
        self, change_id: str, harm: RolloutHarm, error: CommitError
    ) -> None:
        if isinstance(error, ChangeRefusedError | RevisionConflictError):
            self._metrics.count("rollout_pauses_dropped")
            self._stop_attempts(change_id)
            return
        self._metrics.count("rollout_pause_failures")
        count = self._attempts[change_id].count + 1
        if count >= MAX_ATTEMPTS:
            self._stop_attempts(change_id)
            self._metrics.count("rollout_pauses_given_up")
            _LOG.error(
                "could not pause the roll-out of model {}, giving up: {}",
                harm.state.model,
                error,
            )
            return
        backoff_ms = min(
            _INITIAL_BACKOFF_MS * 2 ** (count - 1), _MAX_BACKOFF_MS
        )
        self._attempts[change_id] = _Attempts(
            count=count, next_ms=self._clock.now_ms() + backoff_ms
        )

    def _stop_attempts(self, change_id: str) -> None:
        """Ends the attempts of a change; a newer revision has another id."""
        self._attempts[change_id] = _Attempts(next_ms=None)


class RolloutActor(pykka.ThreadingActor):
    """Runs the guard on each tick.

    Args:
        guard: Pauses roll-outs; outlives the actor.
    """

    def __init__(self, guard: RolloutGuard) -> None:
        super().__init__()
        self._guard = guard

    def on_receive(self, message: object) -> None:
        """Attempts the pauses that are due."""
        if isinstance(message, Tick):
            self._guard.attempt_due_pauses()


def _change_id(harm: RolloutHarm) -> str:
    """Returns the change id, which all nodes derive alike.

    Equal ids let the store commit a pause once. The revision distinguishes a
    new finding from an earlier one that operators have overruled.
    """
    state = harm.state
    finding = f"{state.model}:step-{state.step}:{harm.reason.value}"
    return f"pause:r{harm.revision}:{finding}"
