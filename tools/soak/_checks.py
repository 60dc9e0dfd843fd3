"""Checks the daemons' guarantees against a run's recorded history."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable, Iterator, Sequence

from trefoilpitch.standins import WorkerFault

# Time bounds that follow from the platform settings of the daemons in a run.
# RECONNECT_MS is how long after a disturbance a daemon may take to catch up.
RECONNECT_MS = 3_000
DRAIN_MS = 2_000
CONFIG_APPLY_MS = 2_000
EVACUATION_MS = 5_000
_NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})


class RequestKind(enum.Enum):
    """Retry and response semantics of a request; the value is its route."""

    IDEMPOTENT = "/plain/"
    ONCE = "/once/"
    STREAM = "/stream/"


@dataclasses.dataclass(slots=True, kw_only=True)
class CallerRequest:
    """A request and its response as the caller recorded them."""

    request_id: str
    kind: RequestKind
    # Name of the daemon that it was sent to.
    daemon: str
    # Method and target.
    line: str
    body: bytes
    # When it was sent and when its response ended, in milliseconds since the
    # start of the run.
    sent_ms: int
    ended_ms: int | None = None
    # Status of the response; None if none arrived.
    status: int | None = None
    # The request id and the worker's seal in the response headers.
    response_request_id: str | None = None
    seal: str | None = None
    # The received part of the body, and whether the body is complete.
    received: bytes = b""
    complete: bool = False
    # Whether the caller closed the connection before the response ended.
    abandoned: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordedRun:
    """One execution of a request as a worker recorded it."""

    request_id: str
    # Name and failure domain of the worker.
    worker: str
    domain: str
    # Method and target.
    line: str
    body: bytes
    # Headers with their names in lower case.
    headers: dict[str, str]
    # The fault injected into this execution; None for none.
    fault: WorkerFault | None
    # When it arrived, in milliseconds since the start of the run.
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Disturbance:
    """A period in which a process or one of its links is faulty."""

    # Name of the daemon or worker; None for the store, which affects all
    # daemons.
    subject: str | None
    # Start and end, in milliseconds since the start of the run.
    from_ms: int
    to_ms: int
    # Whether it is a graceful stop, which must not truncate any response.
    planned: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ban:
    """A worker, failure domain or route that must not receive requests."""

    # Exactly one of these is set.
    worker: str = ""
    domain: str = ""
    prefix: str = ""
    # When the store confirmed the write, and within which time afterwards all
    # daemons have to comply.
    from_ms: int
    bound_ms: int
    # When the ban was lifted.
    to_ms: int

    def covers(self, run: RecordedRun) -> bool:
        """Whether the ban applies to a run, regardless of its time."""
        target = run.line.partition(" ")[2]
        return (
            self.worker == run.worker
            or self.domain == run.domain
            or bool(self.prefix and target.startswith(self.prefix))
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExtraRoute:
    """A route that the operator added and later removed."""

    # Path prefix.
    prefix: str
    # When the store confirmed its addition and its removal.
    from_ms: int
    to_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class History:
    """Everything recorded in a run."""

    # By request id.
    requests: dict[str, CallerRequest] = dataclasses.field(default_factory=dict)
    runs: list[RecordedRun] = dataclasses.field(default_factory=list)
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    bans: list[Ban] = dataclasses.field(default_factory=list)
    # Oldest first.
    extra_routes: list[ExtraRoute] = dataclasses.field(default_factory=list)

    def was_undisturbed(self, daemon: str, from_ms: int, to_ms: int) -> bool:
        """Whether a daemon and the store were fault-free.

        The period starts `RECONNECT_MS` before ``from_ms``.
        """
        return not any(
            d.subject in (None, daemon)
            and d.from_ms <= to_ms
            and d.to_ms >= from_ms - RECONNECT_MS
            for d in self.disturbances
        )


def find_violations(history: History, *, timed: bool, events: int) -> list[str]:
    """Returns a readable line for each violated guarantee.

    Args:
        history: What the run recorded.
        timed: Whether to check guarantees with a time bound as well.
        events: Number of events in a complete stream.
    """
    runs: dict[str, list[RecordedRun]] = {}
    violations: list[str] = []
    for run in history.runs:
        runs.setdefault(run.request_id, []).append(run)
        violations += _check_run(history, run)
    for request in history.requests.values():
        request_runs = runs.get(request.request_id, [])
        violations += _check_request(request, request_runs, events)
        violations += _check_denied(history, request, timed=timed)
        if timed:
            violations += _check_planned_stop(history, request, request_runs)
    if timed:
        violations += _check_bans(history)
    return violations


def _check_run(history: History, run: RecordedRun) -> Iterator[str]:
    request = history.requests.get(run.request_id)
    if request is None:
        yield f"UNASKED {run.request_id}: no caller sent this request"
        return
    if (run.line, run.body) != (request.line, request.body):
        yield f"UNASKED {run.request_id}: modified before reaching {run.worker}"
    if run.headers.get("x-trefoilpitch-tenant") != "workspace-a":
        yield f"UNASKED {run.request_id}: wrong workspace at {run.worker}"
    if "api-key" in run.headers:
        yield f"UNASKED {run.request_id}: API key was forwarded to {run.worker}"


def _check_request(
    request: CallerRequest, runs: Sequence[RecordedRun], events: int
) -> Iterator[str]:
    name = f"{request.request_id} at {request.daemon}"
    if request.kind is RequestKind.ONCE and len(runs) > 1:
        yield f"TWICE {name}: executed by {[run.worker for run in runs]}"
    refused = request.status in _NOT_EXECUTED_STATUSES
    if request.kind is RequestKind.ONCE and refused and runs:
        yield (
            f"REFUSED {name}: status {request.status}, but executed by"
            f" {runs[0].worker}"
        )
    if request.status is None:
        return
    if request.response_request_id not in (None, request.request_id):
        yield (
            f"MIXED {name}: response belongs to request"
            f" {request.response_request_id}"
        )
    if request.status != 200:
        return
    expected_seals = {f"seal-{run.worker}" for run in runs}
    if request.seal not in expected_seals:
        yield (
            f"MIXED {name}: response has seal {request.seal},"
            f" expected one of {expected_seals}"
        )
    if request.kind is RequestKind.STREAM:
        yield from _check_stream(request, name, events)
    elif request.complete:
        expected_bodies = {
            f"{run.worker} {run.line} ".encode() + run.body for run in runs
        }
        if request.received not in expected_bodies:
            yield f"MIXED {name}: unexpected body {request.received!r}"


def _check_stream(
    request: CallerRequest, name: str, events: int
) -> Iterator[str]:
    expected = b"".join(
        f"id: {number}\ndata: {request.request_id}-{number}\n\n".encode()
        for number in range(1, events + 1)
    )
    if not expected.startswith(request.received):
        yield f"ORDER {name}: unexpected events {request.received[-80:]!r}"
    elif request.complete and request.received != expected:
        yield f"ORDER {name}: truncated stream was ended as complete"


def _check_denied(
    history: History, request: CallerRequest, *, timed: bool
) -> Iterator[str]:
    """Checks that no permitted request gets 401, 403 or 404.

    Base routes are part of every configuration; an added route has to be
    served once `CONFIG_APPLY_MS` have passed.
    """
    # A 404 from the worker itself carries the worker's seal.
    if request.status not in (401, 403, 404) or request.seal is not None:
        return
    name = f"{request.request_id} at {request.daemon}"
    target = request.line.partition(" ")[2]
    added = [r for r in history.extra_routes if target.startswith(r.prefix)]
    if not added:
        yield f"DENIED {name}: status {request.status} for base route {target}"
        return
    ended_ms = request.ended_ms or request.sent_ms
    in_force_ms = added[0].from_ms + CONFIG_APPLY_MS
    if (
        timed
        and in_force_ms < request.sent_ms
        and ended_ms < added[0].to_ms
        and history.was_undisturbed(
            request.daemon, request.sent_ms - CONFIG_APPLY_MS, ended_ms
        )
    ):
        yield f"CONFIG {name}: status {request.status} for added route {target}"


def _check_planned_stop(
    history: History, request: CallerRequest, runs: Sequence[RecordedRun]
) -> Iterator[str]:
    """Checks that a graceful stop truncates no response of a healthy worker.

    This has to hold while the store is unavailable, too.
    """
    if request.complete or request.abandoned or request.ended_ms is None:
        return
    workers = [run.worker for run in runs]
    planned_stop = any(
        d.planned
        and d.subject == request.daemon
        and d.from_ms - RECONNECT_MS <= request.sent_ms <= d.to_ms
        for d in history.disturbances
    )
    unplanned_disturbance = any(
        not d.planned
        and d.subject in (request.daemon, *workers)
        and d.from_ms <= request.ended_ms
        and d.to_ms >= request.sent_ms - RECONNECT_MS
        for d in history.disturbances
    )
    if (
        planned_stop
        and runs
        and not unplanned_disturbance
        and not any(r.fault for r in runs)
    ):
        yield (
            f"LOST {request.request_id} at {request.daemon}:"
            f" truncated at {request.ended_ms} ms by a planned stop"
        )


def _check_bans(history: History) -> Iterator[str]:
    for run in history.runs:
        request = history.requests.get(run.request_id)
        if request is None:
            continue
        for ban in _violated_bans(history.bans, run, request):
            known_ms = max(ban.from_ms, request.sent_ms - ban.bound_ms)
            if history.was_undisturbed(request.daemon, known_ms, run.at_ms):
                yield (
                    f"BANNED {run.request_id} at {request.daemon}: executed by"
                    f" {run.worker} at {run.at_ms} ms despite {ban}"
                )


def _violated_bans(
    bans: Iterable[Ban], run: RecordedRun, request: CallerRequest
) -> Iterator[Ban]:
    for ban in bans:
        in_force_ms = ban.from_ms + ban.bound_ms
        in_force = in_force_ms < request.sent_ms and run.at_ms < ban.to_ms
        if in_force and ban.covers(run):
            yield ban
