"""The promises, checked on what callers, workers and the operator saw."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable, Iterator, Sequence

from trefoilpitch.standins import WorkerFault

# Bounds as the platform's settings give them to the daemons of a run.
CONTACT_MS = 3_000
DRAIN_MS = 2_000
CONFIG_APPLY_MS = 2_000
EVACUATION_MS = 5_000
_PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})


class Kind(enum.Enum):
    """What may be done with a request; the value is its route's prefix."""

    IDEMPOTENT = "/plain/"
    ONCE = "/once/"
    STREAM = "/stream/"


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempt:
    """A request as its caller knows it."""

    # Its id.
    request_id: str
    # What may be done with it.
    kind: Kind
    # The daemon that it was sent to.
    daemon: str
    # Method and target.
    line: str
    # Its body.
    body: bytes
    # When it was sent and when its answer ended, in milliseconds.
    sent_ms: int
    ended_ms: int | None = None
    # Status of the answer; None if none came.
    status: int | None = None
    # The id and the seal that the answer bore.
    answer_id: str | None = None
    seal: str | None = None
    # What came of the body, and whether it came to its end.
    received: bytes = b""
    complete: bool = False
    # Whether the caller left by itself.
    left: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """A request as a worker knows it."""

    # Its id.
    request_id: str
    # The worker, and the failure domain that it is in.
    worker: str
    domain: str
    # Method, target and body.
    line: str
    body: bytes
    # Headers with their names in lower case.
    headers: dict[str, str]
    # How it went wrong there; None if it did not.
    fault: WorkerFault | None
    # When it came.
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Disturbance:
    """A time in which a process or its links are not as they should be."""

    # The daemon or worker; None if it is the store, and so concerns all
    # daemons.
    subject: str | None
    # From when to when.
    from_ms: int
    to_ms: int
    # Whether it is a planned stop, which cuts no request.
    planned: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ban:
    """What must get no request from some moment on."""

    # A worker, a failure domain, or a route's prefix.
    worker: str = ""
    domain: str = ""
    prefix: str = ""
    # When the operator or worker had the store's word, and the time in which
    # it has to be in force.
    from_ms: int
    bound_ms: int
    # When it was lifted.
    to_ms: int

    def covers(self, run: Run) -> bool:
        """Whether it forbids a run, its time aside."""
        target = run.line.partition(" ")[2]
        return (
            self.worker == run.worker
            or self.domain == run.domain
            or bool(self.prefix and target.startswith(self.prefix))
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExtraRoute:
    """A route that the operator added, and took away again."""

    # The prefix of its paths.
    prefix: str
    # When the operator had the store's word on either.
    from_ms: int
    to_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class History:
    """All that was seen in a run."""

    attempts: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    runs: list[Run] = dataclasses.field(default_factory=list)
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    bans: list[Ban] = dataclasses.field(default_factory=list)
    # The newest one last.
    extra_routes: list[ExtraRoute] = dataclasses.field(default_factory=list)

    def in_touch(self, daemon: str, from_ms: int, to_ms: int) -> bool:
        """Whether nothing disturbed a daemon, nor the store, lately."""
        return not any(
            d.subject in (None, daemon)
            and d.from_ms <= to_ms
            and d.to_ms >= from_ms - CONTACT_MS
            for d in self.disturbances
        )


def find_violations(history: History, *, timed: bool, events: int) -> list[str]:
    """Returns each broken promise, as a line for people.

    Args:
        history: What was seen.
        timed: Whether promises with a time bound are judged as well.
        events: Events of a whole stream.
    """
    runs: dict[str, list[Run]] = {}
    found: list[str] = []
    for run in history.runs:
        runs.setdefault(run.request_id, []).append(run)
        found += _check_run(history, run)
    for attempt in history.attempts.values():
        own = runs.get(attempt.request_id, [])
        found += _check_attempt(attempt, own, events)
        found += _check_denial(history, attempt, timed=timed)
        if timed:
            found += _check_loss(history, attempt, own)
    if timed:
        found += _check_bans(history)
    return found


def _check_run(history: History, run: Run) -> Iterator[str]:
    attempt = history.attempts.get(run.request_id)
    if attempt is None:
        yield f"UNASKED {run.request_id}: no caller sent it"
        return
    if (run.line, run.body) != (attempt.line, attempt.body):
        yield f"UNASKED {run.request_id}: changed on the way to {run.worker}"
    if run.headers.get("x-trefoilpitch-tenant") != "workspace-a":
        yield f"UNASKED {run.request_id}: wrong workspace at {run.worker}"
    if "api-key" in run.headers:
        yield f"UNASKED {run.request_id}: its key reached {run.worker}"


def _check_attempt(
    attempt: Attempt, runs: Sequence[Run], events: int
) -> Iterator[str]:
    name = f"{attempt.request_id} at {attempt.daemon}"
    if attempt.kind is Kind.ONCE and len(runs) > 1:
        yield f"TWICE {name}: ran at {[run.worker for run in runs]}"
    refused = attempt.status in _PROMISES_NOT_RUN
    if attempt.kind is Kind.ONCE and refused and runs:
        yield f"REFUSED {name}: {attempt.status}, and ran at {runs[0].worker}"
    if attempt.status is None:
        return
    if attempt.answer_id not in (None, attempt.request_id):
        yield f"MIXED {name}: the answer to {attempt.answer_id}"
    if attempt.status != 200:
        return
    sealed = {f"seal-{run.worker}" for run in runs}
    if attempt.seal not in sealed:
        yield f"MIXED {name}: seal {attempt.seal}, ran at {sealed}"
    if attempt.kind is Kind.STREAM:
        yield from _check_stream(attempt, name, events)
    elif attempt.complete:
        whole = {
            f"{run.worker} {run.line} ".encode() + run.body for run in runs
        }
        if attempt.received not in whole:
            yield f"MIXED {name}: body {attempt.received!r}"


def _check_stream(attempt: Attempt, name: str, events: int) -> Iterator[str]:
    expected = b"".join(
        f"id: {number}\ndata: {attempt.request_id}-{number}\n\n".encode()
        for number in range(1, events + 1)
    )
    if not expected.startswith(attempt.received):
        yield f"ORDER {name}: {attempt.received[-80:]!r}"
    elif attempt.complete and attempt.received != expected:
        yield f"ORDER {name}: ends early as if it were whole"


def _check_denial(
    history: History, attempt: Attempt, *, timed: bool
) -> Iterator[str]:
    """What every configuration allows is denied by none, added routes soon."""
    # A worker's own 404 bears its seal.
    if attempt.status not in (401, 403, 404) or attempt.seal is not None:
        return
    name = f"{attempt.request_id} at {attempt.daemon}"
    target = attempt.line.partition(" ")[2]
    added = [r for r in history.extra_routes if target.startswith(r.prefix)]
    if not added:
        yield f"DENIED {name}: {attempt.status} for {target}"
        return
    ended_ms = attempt.ended_ms or attempt.sent_ms
    in_force_ms = added[0].from_ms + CONFIG_APPLY_MS
    if (
        timed
        and in_force_ms < attempt.sent_ms
        and ended_ms < added[0].to_ms
        and history.in_touch(
            attempt.daemon, attempt.sent_ms - CONFIG_APPLY_MS, ended_ms
        )
    ):
        yield f"CONFIG {name}: {attempt.status} for {target}"


def _check_loss(
    history: History, attempt: Attempt, runs: Sequence[Run]
) -> Iterator[str]:
    """A planned stop cuts nothing that a sound worker serves.

    A store that is away is no excuse.
    """
    if attempt.complete or attempt.left or attempt.ended_ms is None:
        return
    workers = [run.worker for run in runs]
    stopped = any(
        d.planned
        and d.subject == attempt.daemon
        and d.from_ms - CONTACT_MS <= attempt.sent_ms <= d.to_ms
        for d in history.disturbances
    )
    unplanned = any(
        not d.planned
        and d.subject in (attempt.daemon, *workers)
        and d.from_ms <= attempt.ended_ms
        and d.to_ms >= attempt.sent_ms - CONTACT_MS
        for d in history.disturbances
    )
    if stopped and runs and not unplanned and not any(r.fault for r in runs):
        yield (
            f"LOST {attempt.request_id} at {attempt.daemon}:"
            f" cut at {attempt.ended_ms} by a planned stop"
        )


def _check_bans(history: History) -> Iterator[str]:
    for run in history.runs:
        attempt = history.attempts.get(run.request_id)
        if attempt is None:
            continue
        for ban in _broken_bans(history.bans, run, attempt):
            known_ms = max(ban.from_ms, attempt.sent_ms - ban.bound_ms)
            if history.in_touch(attempt.daemon, known_ms, run.at_ms):
                yield (
                    f"BANNED {run.request_id} at {attempt.daemon}: ran at"
                    f" {run.worker} at {run.at_ms} against {ban}"
                )


def _broken_bans(
    bans: Iterable[Ban], run: Run, attempt: Attempt
) -> Iterator[Ban]:
    for ban in bans:
        in_force_ms = ban.from_ms + ban.bound_ms
        in_force = in_force_ms < attempt.sent_ms and run.at_ms < ban.to_ms
        if in_force and ban.covers(run):
            yield ban
