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


class RequestKind(enum.Enum):
    """What may be done with a request; the value is its route's prefix."""

    IDEMPOTENT = "/plain/"
    ONCE = "/once/"
    STREAM = "/stream/"


@dataclasses.dataclass(slots=True, kw_only=True)
class CallerRequest:
    """A request as its caller knows it."""

    # Its id.
    request_id: str
    # What may be done with it.
    kind: RequestKind
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
class RecordedRun:
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

    def covers(self, run: RecordedRun) -> bool:
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

    requests: dict[str, CallerRequest] = dataclasses.field(default_factory=dict)
    runs: list[RecordedRun] = dataclasses.field(default_factory=list)
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
    runs: dict[str, list[RecordedRun]] = {}
    found: list[str] = []
    for run in history.runs:
        runs.setdefault(run.request_id, []).append(run)
        found += _check_run(history, run)
    for request in history.requests.values():
        own = runs.get(request.request_id, [])
        found += _check_request(request, own, events)
        found += _check_denial(history, request, timed=timed)
        if timed:
            found += _check_loss(history, request, own)
    if timed:
        found += _check_bans(history)
    return found


def _check_run(history: History, run: RecordedRun) -> Iterator[str]:
    request = history.requests.get(run.request_id)
    if request is None:
        yield f"UNASKED {run.request_id}: no caller sent it"
        return
    if (run.line, run.body) != (request.line, request.body):
        yield f"UNASKED {run.request_id}: changed on the way to {run.worker}"
    if run.headers.get("x-trefoilpitch-tenant") != "workspace-a":
        yield f"UNASKED {run.request_id}: wrong workspace at {run.worker}"
    if "api-key" in run.headers:
        yield f"UNASKED {run.request_id}: its key reached {run.worker}"


def _check_request(
    request: CallerRequest, runs: Sequence[RecordedRun], events: int
) -> Iterator[str]:
    name = f"{request.request_id} at {request.daemon}"
    if request.kind is RequestKind.ONCE and len(runs) > 1:
        yield f"TWICE {name}: ran at {[run.worker for run in runs]}"
    refused = request.status in _PROMISES_NOT_RUN
    if request.kind is RequestKind.ONCE and refused and runs:
        yield f"REFUSED {name}: {request.status}, and ran at {runs[0].worker}"
    if request.status is None:
        return
    if request.answer_id not in (None, request.request_id):
        yield f"MIXED {name}: the answer to {request.answer_id}"
    if request.status != 200:
        return
    sealed = {f"seal-{run.worker}" for run in runs}
    if request.seal not in sealed:
        yield f"MIXED {name}: seal {request.seal}, ran at {sealed}"
    if request.kind is RequestKind.STREAM:
        yield from _check_stream(request, name, events)
    elif request.complete:
        whole = {
            f"{run.worker} {run.line} ".encode() + run.body for run in runs
        }
        if request.received not in whole:
            yield f"MIXED {name}: body {request.received!r}"


def _check_stream(
    request: CallerRequest, name: str, events: int
) -> Iterator[str]:
    expected = b"".join(
        f"id: {number}\ndata: {request.request_id}-{number}\n\n".encode()
        for number in range(1, events + 1)
    )
    if not expected.startswith(request.received):
        yield f"ORDER {name}: {request.received[-80:]!r}"
    elif request.complete and request.received != expected:
        yield f"ORDER {name}: ends early as if it were whole"


def _check_denial(
    history: History, request: CallerRequest, *, timed: bool
) -> Iterator[str]:
    """What every configuration allows is denied by none, added routes soon."""
    # A worker's own 404 bears its seal.
    if request.status not in (401, 403, 404) or request.seal is not None:
        return
    name = f"{request.request_id} at {request.daemon}"
    target = request.line.partition(" ")[2]
    added = [r for r in history.extra_routes if target.startswith(r.prefix)]
    if not added:
        yield f"DENIED {name}: {request.status} for {target}"
        return
    ended_ms = request.ended_ms or request.sent_ms
    in_force_ms = added[0].from_ms + CONFIG_APPLY_MS
    if (
        timed
        and in_force_ms < request.sent_ms
        and ended_ms < added[0].to_ms
        and history.in_touch(
            request.daemon, request.sent_ms - CONFIG_APPLY_MS, ended_ms
        )
    ):
        yield f"CONFIG {name}: {request.status} for {target}"


def _check_loss(
    history: History, request: CallerRequest, runs: Sequence[RecordedRun]
) -> Iterator[str]:
    """A planned stop cuts nothing that a sound worker serves.

    A store that is away is no excuse.
    """
    if request.complete or request.left or request.ended_ms is None:
        return
    workers = [run.worker for run in runs]
    stopped = any(
        d.planned
        and d.subject == request.daemon
        and d.from_ms - CONTACT_MS <= request.sent_ms <= d.to_ms
        for d in history.disturbances
    )
    unplanned = any(
        not d.planned
        and d.subject in (request.daemon, *workers)
        and d.from_ms <= request.ended_ms
        and d.to_ms >= request.sent_ms - CONTACT_MS
        for d in history.disturbances
    )
    if stopped and runs and not unplanned and not any(r.fault for r in runs):
        yield (
            f"LOST {request.request_id} at {request.daemon}:"
            f" cut at {request.ended_ms} by a planned stop"
        )


def _check_bans(history: History) -> Iterator[str]:
    for run in history.runs:
        request = history.requests.get(run.request_id)
        if request is None:
            continue
        for ban in _broken_bans(history.bans, run, request):
            known_ms = max(ban.from_ms, request.sent_ms - ban.bound_ms)
            if history.in_touch(request.daemon, known_ms, run.at_ms):
                yield (
                    f"BANNED {run.request_id} at {request.daemon}: ran at"
                    f" {run.worker} at {run.at_ms} against {ban}"
                )


def _broken_bans(
    bans: Iterable[Ban], run: RecordedRun, request: CallerRequest
) -> Iterator[Ban]:
    for ban in bans:
        in_force_ms = ban.from_ms + ban.bound_ms
        in_force = in_force_ms < request.sent_ms and run.at_ms < ban.to_ms
        if in_force and ban.covers(run):
            yield ban
