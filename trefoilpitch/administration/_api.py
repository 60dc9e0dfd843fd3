"""Request handling of the administration API."""

from __future__ import annotations

import dataclasses
import hashlib
import hmac
import threading
from collections.abc import Callable
from typing import Any, TypeAlias

import msgspec
from returns.result import Failure, Result, Success

from trefoilpitch.administration._bills import read_ledger_page
from trefoilpitch.administration._changes import (
    decode_change_body,
    to_change,
)
from trefoilpitch.administration._problems import (
    busy_problem,
    commit_problem,
    conflict_problem,
    refusal_problem,
    unknown_vm_problem,
)
from trefoilpitch.administration._responses import (
    BundleResponse,
    ChangeResponse,
    DryRunResponse,
    HistoryEntry,
    HistoryResponse,
)
from trefoilpitch.administration._status import fleet_status
from trefoilpitch.administration._vm_names import find_unknown_vm
from trefoilpitch.clock import Clock
from trefoilpitch.configuration import (
    Change,
    Committed,
    Configuration,
    ConfigurationWriter,
    HeadReader,
    apply_change,
    describe_delta,
)
from trefoilpitch.membership import MembershipView
from trefoilpitch.metrics import Metrics
from trefoilpitch.store import KeyValueStore
from trefoilpitch.web import Problem, Request, Response, problem_response

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_STORE_WAIT_MS = 1_000
# Less than the number of server threads, so that a store that hangs does not
# block requests for the status, the dump and the metrics.
_MAX_STORE_REQUESTS = 2
_MS_PER_S = 1_000
_STORE_RETRY_MS = 2_000
_CANNOT_COMMIT = Problem(
    status=503,
    code="not-current",
    title="this VM cannot commit changes now",
    detail=(
        "It cannot reach the store, or too few failure domains have replied "
        "to it recently. Nothing was changed. Retry, or use another VM."
    ),
    retry_after_ms=_STORE_RETRY_MS,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdminDependencies:
    """Dependencies of the administration API."""

    # Returns this node's view of the fleet.
    view: Callable[[], MembershipView]
    # Returns the configuration in force on this node.
    configuration: Callable[[], Configuration]
    # Commits changes to the store.
    writer: ConfigurationWriter
    # Reads the recent changes from the head for the history.
    reader: HeadReader
    # Returns whether this node may commit changes now.
    accepts_changes: Callable[[], bool]
    # Waits for the confirmation of a commit, given its send time in
    # milliseconds; returns False if that timed out.
    confirm: Callable[[Committed, int], bool]
    # Stores the bills.
    store: KeyValueStore
    # Returns the state of the process for diagnosis.
    dump: Callable[[], dict[str, Any]]
    metrics: Metrics
    clock: Clock


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _ChangeRequest:
    change: Change
    # The revision that the change is based on; None for any.
    expected_revision: int | None


_Route: TypeAlias = Callable[[Request], Response]


class AdminApi:
    """Authenticates operators and handles their requests.

    Args:
        token_sha256: SHA-256 of the administration token, in hexadecimal.
        dependencies: Sources of state and targets of changes.
        store_wait_ms: How long a request waits for a store slot before it
            is refused.
    """

    def __init__(
        self,
        token_sha256: str,
        dependencies: AdminDependencies,
        store_wait_ms: int = _STORE_WAIT_MS,
    ) -> None:
        self._token_sha256 = token_sha256
        self._dependencies = dependencies
        self._store_wait_ms = store_wait_ms
        self._store_slots = threading.BoundedSemaphore(_MAX_STORE_REQUESTS)
        self._commit_lock = threading.Lock()
        self._routes: dict[tuple[str, str], _Route] = {
            ("GET", "/v1/status"): self._status,
            ("GET", "/v1/dump"): self._dump,
            ("GET", "/v1/bundle"): self._bundle,
            ("GET", "/v1/history"): self._limit_store_use(self._history),
            ("GET", "/v1/ledger"): self._limit_store_use(self._ledger),
            ("POST", "/v1/changes"): self._limit_store_use(self._change),
            ("POST", "/v1/dry-run"): self._dry_run,
            ("GET", "/metrics"): self._metrics,
        }

    def handle(self, request: Request) -> Response:
        """Returns the response to one request."""
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

    def _limit_store_use(self, route: _Route) -> _Route:
        def limited(request: Request) -> Response:
            wait_s = self._store_wait_ms / _MS_PER_S
            if not self._store_slots.acquire(timeout=wait_s):
                return problem_response(busy_problem())
            try:
                return route(request)
            finally:
                self._store_slots.release()

        return limited

    def _is_operator(self, request: Request) -> bool:
        token = request.bearer_token.encode("utf-8", "surrogatepass")
        digest = hashlib.sha256(token).hexdigest()
        return hmac.compare_digest(digest, self._token_sha256)

    def _status(self, request: Request) -> Response:
        del request
        status = fleet_status(
            self._dependencies.view(),
            self._dependencies.configuration(),
            self._dependencies.clock.now_ms(),
        )
        return _json_response(status)

    def _dump(self, request: Request) -> Response:
        del request
        return _json_response(self._dependencies.dump())

    def _metrics(self, request: Request) -> Response:
        del request
        return Response(
            content_type=METRICS_TYPE, body=self._dependencies.metrics.render()
        )

    def _bundle(self, request: Request) -> Response:
        del request
        configuration = self._dependencies.configuration()
        return _json_response(
            BundleResponse(
                revision=configuration.revision, bundle=configuration.bundle
            )
        )

    def _history(self, request: Request) -> Response:
        del request
        read = self._dependencies.reader.read()
        if not isinstance(read, Success):
            return problem_response(commit_problem(read.failure()))
        changes = tuple(
            HistoryEntry(
                revision=delta.revision,
                change_id=delta.change_id,
                author=delta.change.author,
                description=describe_delta(delta),
            )
            for delta in read.unwrap().head.deltas
        )
        return _json_response(HistoryResponse(changes=changes))

    def _ledger(self, request: Request) -> Response:
        after = request.query.get("after", "")
        read = read_ledger_page(self._dependencies.store, after)
        if not isinstance(read, Success):
            return problem_response(read.failure())
        return _json_response(read.unwrap())

    def _read_change(self, request: Request) -> Result[_ChangeRequest, Problem]:
        decoded = decode_change_body(request.body)
        if not isinstance(decoded, Success):
            return Failure(decoded.failure())
        body = decoded.unwrap()
        unknown = find_unknown_vm(
            body, self._dependencies.view(), self._dependencies.configuration()
        )
        if unknown:
            return Failure(unknown_vm_problem(unknown))
        return to_change(body).map(
            lambda change: _ChangeRequest(
                change=change, expected_revision=body.expected_revision
            )
        )

    def _change(self, request: Request) -> Response:
        read = self._read_change(request)
        if not isinstance(read, Success):
            return problem_response(read.failure())
        change_request = read.unwrap()
        if not self._dependencies.accepts_changes():
            return problem_response(_CANNOT_COMMIT)
        sent_ms = self._dependencies.clock.now_ms()
        with self._commit_lock:
            committed = self._dependencies.writer.commit(
                change_request.change,
                expected_revision=change_request.expected_revision,
                known_revision=self._dependencies.configuration().revision,
            )
        if not isinstance(committed, Success):
            return problem_response(commit_problem(committed.failure()))
        accepted = committed.unwrap()
        return _json_response(
            ChangeResponse(
                revision=accepted.revision,
                is_repeated=accepted.is_repeated,
                is_confirmed=self._dependencies.confirm(accepted, sent_ms),
            )
        )

    def _dry_run(self, request: Request) -> Response:
        """Validates a change against the revision in force on this node.

        Does not read the store, so a later revision may give another result.
        """
        read = self._read_change(request)
        if not isinstance(read, Success):
            return problem_response(read.failure())
        change_request = read.unwrap()
        configuration = self._dependencies.configuration()
        revision = configuration.revision
        if change_request.expected_revision not in (None, revision):
            message = f"revision {revision} is in force on this VM"
            return problem_response(conflict_problem(message))
        applied = apply_change(configuration, change_request.change)
        if not isinstance(applied, Success):
            error = applied.failure()
            return problem_response(refusal_problem(error.refusal, str(error)))
        return _json_response(DryRunResponse(revision=revision))


def _json_response(content: object) -> Response:
    return Response(body=msgspec.json.encode(content))
