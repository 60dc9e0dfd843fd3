"""The API that operators use."""

from __future__ import annotations

import dataclasses
import hashlib
import hmac
import threading
from collections.abc import Callable
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from trefoilpitch.administration._changes import (
    decode_change_body,
    to_change,
)
from trefoilpitch.administration._replies import (
    BundleReply,
    ChangeReply,
    DryRunReply,
    HistoryLine,
    HistoryReply,
    LedgerReply,
)
from trefoilpitch.administration._status import fleet_status
from trefoilpitch.clock import Clock
from trefoilpitch.configuration import (
    ChangeRefusedError,
    CommitError,
    Committed,
    CommitUnknownError,
    Configuration,
    ConfigurationWriter,
    HeadReader,
    RevisionConflictError,
    apply_change,
    describe_delta,
)
from trefoilpitch.ledger import (
    LEDGER_PREFIX,
    Bill,
    decode_segment,
    total_by_workspace,
    unite_bills,
)
from trefoilpitch.membership import MembershipView
from trefoilpitch.metrics import Metrics
from trefoilpitch.store import KeyValueStore
from trefoilpitch.web import Problem, Request, Response, problem_response

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_STORE_RETRY_MS = 2_000
_NOT_ACCEPTED = Problem(
    status=503,
    code="not-current",
    title="this VM cannot commit changes now",
    detail=(
        "It cannot reach the store, or hears from too few failure domains. "
        "Nothing was changed. Retry, or ask another VM."
    ),
    retry_after_ms=_STORE_RETRY_MS,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdminServices:
    """What the administration API reads and changes."""

    # Returns the view of the fleet.
    view: Callable[[], MembershipView]
    # Returns the configuration in force here.
    configuration: Callable[[], Configuration]
    # Commits changes.
    writer: ConfigurationWriter
    # Reads the head for the history.
    reader: HeadReader
    # Returns whether this node may commit changes now.
    accepts_changes: Callable[[], bool]
    # Waits until a commit, sent at a time, is confirmed; returns whether so.
    confirm: Callable[[Committed, int], bool]
    # Holds the bills.
    store: KeyValueStore
    # Returns the process's state.
    dump: Callable[[], dict[str, Any]]
    # Counters and latencies.
    metrics: Metrics
    # Tells the time.
    clock: Clock


class AdminApi:
    """Authenticates operators and answers their requests.

    Args:
        token_sha256: SHA-256 of the administration token, in hexadecimal.
        services: What the API reads and changes.
    """

    def __init__(self, token_sha256: str, services: AdminServices) -> None:
        self._token_sha256 = token_sha256
        self._services = services
        self._commits = threading.Lock()
        self._routes: dict[tuple[str, str], Callable[[Request], Response]] = {
            ("GET", "/v1/status"): self._status,
            ("GET", "/v1/dump"): self._dump,
            ("GET", "/v1/bundle"): self._bundle,
            ("GET", "/v1/history"): self._history,
            ("GET", "/v1/ledger"): self._ledger,
            ("POST", "/v1/changes"): self._change,
            ("POST", "/v1/dry-run"): self._dry_run,
            ("GET", "/metrics"): self._metrics,
        }

    def handle(self, request: Request) -> Response:
        """Answers one request."""
        if not self._is_operator(request):
            problem = Problem(
                status=401,
                code="unauthenticated",
                title="the administration token is not known",
                detail="Send Authorization: Bearer with the token.",
            )
            return problem_response(problem)
        route = self._routes.get((request.method, request.path))
        if route is None:
            title = f"there is no {request.method} {request.path}"
            problem = Problem(status=404, code="no-such-path", title=title)
            return problem_response(problem)
        return route(request)

    def _is_operator(self, request: Request) -> bool:
        token = request.bearer_token.encode("utf-8", "surrogatepass")
        digest = hashlib.sha256(token).hexdigest()
        return hmac.compare_digest(digest, self._token_sha256)

    def _status(self, request: Request) -> Response:
        del request
        status = fleet_status(
            self._services.view(),
            self._services.configuration(),
            self._services.clock.now_ms(),
        )
        return _json_response(status)

    def _dump(self, request: Request) -> Response:
        del request
        return _json_response(self._services.dump())

    def _metrics(self, request: Request) -> Response:
        del request
        return Response(
            content_type=METRICS_TYPE, body=self._services.metrics.render()
        )

    def _bundle(self, request: Request) -> Response:
        del request
        configuration = self._services.configuration()
        return _json_response(
            BundleReply(
                revision=configuration.revision, bundle=configuration.bundle
            )
        )

    def _history(self, request: Request) -> Response:
        del request
        read = self._services.reader.read()
        if not isinstance(read, Success):
            return problem_response(_commit_problem(read.failure()))
        changes = tuple(
            HistoryLine(
                revision=delta.revision,
                change_id=delta.change_id,
                author=delta.change.author,
                description=describe_delta(delta),
            )
            for delta in read.unwrap().head.deltas
        )
        return _json_response(HistoryReply(changes=changes))

    def _ledger(self, request: Request) -> Response:
        del request
        read = self._read_bills()
        if not isinstance(read, Success):
            return problem_response(read.failure())
        bills = unite_bills(read.unwrap())
        totals = total_by_workspace(bills)
        return _json_response(LedgerReply(bills=bills, totals=totals))

    def _read_bills(self) -> Result[list[Bill], Problem]:
        listed = self._services.store.list_prefix(LEDGER_PREFIX)
        if not isinstance(listed, Success):
            return Failure(_store_problem(listed.failure().detail))
        bills: list[Bill] = []
        for entry in listed.unwrap().entries:
            decoded = decode_segment(entry.value)
            if not isinstance(decoded, Success):
                title = f"segment {entry.key} is damaged"
                detail = str(decoded.failure())
                problem = Problem(
                    status=500,
                    code="damaged-segment",
                    title=title,
                    detail=detail,
                )
                return Failure(problem)
            bills.extend(decoded.unwrap())
        return Success(bills)

    def _change(self, request: Request) -> Response:
        body = decode_change_body(request.body)
        if not isinstance(body, Success):
            return problem_response(body.failure())
        change = to_change(body.unwrap())
        if not isinstance(change, Success):
            return problem_response(change.failure())
        if not self._services.accepts_changes():
            return problem_response(_NOT_ACCEPTED)
        sent_ms = self._services.clock.now_ms()
        with self._commits:
            committed = self._services.writer.commit(
                change.unwrap(),
                expected_revision=body.unwrap().expected_revision,
                known_revision=self._services.configuration().revision,
            )
        if not isinstance(committed, Success):
            return problem_response(_commit_problem(committed.failure()))
        done = committed.unwrap()
        return _json_response(
            ChangeReply(
                revision=done.revision,
                is_repeated=done.is_repeated,
                is_confirmed=self._services.confirm(done, sent_ms),
            )
        )

    def _dry_run(self, request: Request) -> Response:
        """Applies a change to the revision in force here, and drops it.

        Asks nothing of the store, so a later revision may decide otherwise.
        """
        body = decode_change_body(request.body)
        if not isinstance(body, Success):
            return problem_response(body.failure())
        change = to_change(body.unwrap())
        if not isinstance(change, Success):
            return problem_response(change.failure())
        configuration = self._services.configuration()
        applied = apply_change(configuration, change.unwrap())
        if not isinstance(applied, Success):
            return problem_response(_refusal(str(applied.failure())))
        return _json_response(DryRunReply(revision=configuration.revision))


def _json_response(reply: object) -> Response:
    return Response(body=msgspec.json.encode(reply))


def _refusal(message: str) -> Problem:
    return Problem(
        status=422,
        code="refused",
        title=message,
        detail="Nothing was changed.",
    )


def _commit_problem(error: CommitError) -> Problem:
    if isinstance(error, RevisionConflictError):
        status, code, detail = 409, "conflict", "Look at the changes, retry."
    elif isinstance(error, ChangeRefusedError):
        return _refusal(str(error))
    elif isinstance(error, CommitUnknownError):
        status, code = 504, "outcome-unknown"
        detail = "Send the change again with the same change_id."
    else:
        return _store_problem(str(error))
    return Problem(status=status, code=code, title=str(error), detail=detail)


def _store_problem(detail: str) -> Problem:
    return Problem(
        status=503,
        code="store-unavailable",
        title="the store cannot be used now",
        detail=detail,
        retry_after_ms=_STORE_RETRY_MS,
    )
