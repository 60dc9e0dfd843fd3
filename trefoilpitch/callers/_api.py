"""The HTTP API for callers."""

from __future__ import annotations

import dataclasses
import hashlib
import itertools
import secrets
import urllib.parse
from collections.abc import Callable

from returns.result import Failure, Result, Success

from trefoilpitch.bundle import Operation, Workspace, token_digest
from trefoilpitch.callers._decode import (
    ChatBody,
    bad_request,
    decode_chat_body,
    fingerprint,
)
from trefoilpitch.callers._encode import (
    EVENT_ID_SEPARATOR,
    EVENT_STREAM_TYPE,
    CompleteResponse,
    encode_completion,
)
from trefoilpitch.callers._entries import EntriesEndpoint
from trefoilpitch.callers._keyed_calls import KeyedCall, KeyedCalls
from trefoilpitch.callers._streams import StreamBody
from trefoilpitch.clock import Clock
from trefoilpitch.identity import (
    RequestKey,
    Session,
    TokenSigner,
    UnprefixedKey,
    parse_request_key,
)
from trefoilpitch.metrics import Label, Metrics
from trefoilpitch.requests import KeyedRequestId
from trefoilpitch.serving import (
    AdmissionGate,
    CallHandler,
    CallRequest,
    CallResponse,
    ChatHandler,
    ChatRequest,
    ChatResponse,
    Completed,
    ConfigurationSource,
    Delta,
    ResponseInfo,
    ResumeHandler,
    Truncated,
)
from trefoilpitch.upstreams import Cancellation
from trefoilpitch.web import (
    Header,
    Outcome,
    Problem,
    Request,
    Response,
    problem_response,
)

CHAT_PATH = "/v1/chat/completions"
SERVICES_PREFIX = "/v1/services/"
ENTRIES_PATH = "/v1/entries"
HEALTH_PATH = "/healthz"
FORWARDED_HEADER = "Forwarded-By"

_SEED_BYTES = 9
_KEYED_ID_DIGITS = 32


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerDependencies:
    """The components that the caller API uses."""

    # The current configuration.
    configuration: ConfigurationSource
    # Refuses new work while the node must not accept any.
    gate: AdmissionGate
    # Runs completion requests.
    chat: ChatHandler
    # Resumes streamed responses.
    resumption: ResumeHandler
    # Runs calls of plain services.
    calls: CallHandler
    # Runs calls with an idempotency key at most once.
    keyed_calls: KeyedCalls
    # Lists entry VMs.
    entries: EntriesEndpoint
    # Signs sessions and resume points.
    signer: TokenSigner
    # Counts responses and refusals, and records latencies.
    metrics: Metrics
    # Measures latencies and deadlines.
    clock: Clock


class CallerApi:
    """Authenticates callers and routes their requests.

    Args:
        incarnation: This process's incarnation; prefix of request identifiers.
        dependencies: The components that requests are dispatched to.
    """

    def __init__(
        self, incarnation: str, dependencies: CallerDependencies
    ) -> None:
        self._incarnation = incarnation
        self._dependencies = dependencies
        self._request_numbers = itertools.count(1)

    def handle(self, request: Request) -> Response:
        """Handles one request."""
        if request.path == HEALTH_PATH:
            return Response(body=b"{}")
        if request.path == ENTRIES_PATH and request.method == "GET":
            return self._dependencies.entries.handle(request)
        handler = self._handler(request)
        if handler is None:
            return problem_response(_no_such_path_problem(request))
        authenticated = self._authenticate(request)
        if not isinstance(authenticated, Success):
            return self._refuse_repeatable(request, authenticated.failure())
        cancellation = Cancellation()
        # Cancels the request if its caller disconnects. For a stream this is
        # needed only until the first part: later, sending to a disconnected
        # caller fails, and the server closes the body.
        with request.disconnect.listen(cancellation.cancel):
            return handler(request, authenticated.unwrap(), cancellation)

    def _handler(
        self, request: Request
    ) -> Callable[[Request, Workspace, Cancellation], Response] | None:
        if request.path == CHAT_PATH and request.method == "POST":
            return self._chat
        if request.path.startswith(SERVICES_PREFIX):
            return self._call
        return None

    def _authenticate(self, request: Request) -> Result[Workspace, Problem]:
        digest = token_digest(request.bearer_token)
        table = self._dependencies.configuration.table()
        workspace = table.workspaces_by_token.get(digest)
        if workspace is not None:
            return Success(workspace)
        if table.configuration.bundle is None:
            refusal = self._dependencies.gate.refusal("")
            if refusal is not None:
                return Failure(refusal)
        return Failure(
            Problem(
                status=401,
                code="unauthenticated",
                title="the bearer token is not known",
                detail="Send Authorization: Bearer with a workspace's token.",
                outcome=Outcome.NOT_RUN,
            )
        )

    def _chat(
        self,
        request: Request,
        workspace: Workspace,
        cancellation: Cancellation,
    ) -> Response:
        started_ms = self._dependencies.clock.now_ms()
        if request.header("last-event-id"):
            response = self._resume(request, workspace, cancellation)
            is_stream = True
        else:
            decoded = self._chat_request(request, workspace)
            if not isinstance(decoded, Success):
                return self._refuse_repeatable(request, decoded.failure())
            chat = decoded.unwrap()
            is_stream = chat.stream
            response = self._start_chat(chat, cancellation)
        if not isinstance(response, Success):
            return self._refuse_repeatable(request, response.failure())
        if is_stream:
            return self._stream(response.unwrap(), started_ms)
        return self._complete_response(response.unwrap(), started_ms)

    def _start_chat(
        self, chat: ChatRequest, cancellation: Cancellation
    ) -> Result[ChatResponse, Problem]:
        refusal = self._dependencies.gate.refusal(chat.request_id)
        if refusal is not None:
            return Failure(refusal)
        return self._dependencies.chat.respond(chat, cancellation)

    def _resume(
        self,
        request: Request,
        workspace: Workspace,
        cancellation: Cancellation,
    ) -> Result[ChatResponse, Problem]:
        event_id = request.header("last-event-id")
        token, _, index = event_id.rpartition(EVENT_ID_SEPARATOR)
        point = self._dependencies.signer.read_resume_point(token)
        if not isinstance(point, Success) or not index.isdecimal():
            title = "Last-Event-ID was not issued here"
            return Failure(bad_request("bad-event-id", title))
        if point.unwrap().workspace != workspace.name:
            title = "Last-Event-ID belongs to another workspace"
            return Failure(bad_request("bad-event-id", title))
        return self._dependencies.resumption.resume(
            point.unwrap(), int(index), cancellation
        )

    def _chat_request(
        self, request: Request, workspace: Workspace
    ) -> Result[ChatRequest, Problem]:
        body = decode_chat_body(request.body)
        if not isinstance(body, Success):
            return Failure(body.failure())
        session = self._session(request, workspace)
        if not isinstance(session, Success):
            return Failure(session.failure())
        key = _request_key(request)
        if not isinstance(key, Success):
            return Failure(key.failure())
        return Success(
            self._assemble(
                request,
                workspace,
                body.unwrap(),
                session.unwrap(),
                key.unwrap(),
            )
        )

    def _assemble(
        self,
        request: Request,
        workspace: Workspace,
        body: ChatBody,
        session: Session,
        key: RequestKey | None,
    ) -> ChatRequest:
        return ChatRequest(
            request_id=self._request_id(request, workspace, key),
            workspace=workspace,
            task=body.model,
            messages=body.messages,
            session=session,
            max_output_tokens=body.max_tokens,
            stream=body.stream,
            key=key,
        )

    def _session(
        self, request: Request, workspace: Workspace
    ) -> Result[Session, Problem]:
        token = request.header("session")
        if not token:
            seed = secrets.token_urlsafe(_SEED_BYTES)
            return Success(Session(workspace=workspace.name, seed=seed))
        session = self._dependencies.signer.read_session(token)
        if not isinstance(session, Success):
            title = f"Session is not valid: {session.failure()}"
            return Failure(bad_request("bad-session", title))
        if session.unwrap().workspace != workspace.name:
            title = "Session belongs to another workspace"
            return Failure(bad_request("bad-session", title))
        return Success(session.unwrap())

    def _stream(self, response: ChatResponse, started_ms: int) -> Response:
        dependencies = self._dependencies
        token = dependencies.signer.sign_resume_point(
            response.info.resume_point
        )
        body = StreamBody(
            response,
            token,
            started_ms,
            dependencies.clock,
            dependencies.metrics,
        )
        return Response(
            content_type=EVENT_STREAM_TYPE,
            body=body,
            headers=(
                *self._response_headers(response.info),
                Header(name="Cache-Control", value="no-store"),
            ),
        )

    def _complete_response(
        self, response: ChatResponse, started_ms: int
    ) -> Response:
        texts: list[str] = []
        completed: Completed | None = None
        try:
            for event in response:
                if isinstance(event, Delta):
                    texts.append(event.text)
                elif isinstance(event, Completed):
                    completed = event
                else:
                    assert isinstance(event, Truncated)
                    return self._refuse(event.problem)
        finally:
            response.close()
        assert completed is not None
        completion = CompleteResponse(
            info=response.info, text="".join(texts), completed=completed
        )
        self._record_response("whole", started_ms)
        return Response(
            body=encode_completion(completion),
            headers=self._response_headers(response.info),
        )

    def _response_headers(self, info: ResponseInfo) -> tuple[Header, ...]:
        session = self._dependencies.signer.sign_session(info.session)
        return (
            Header(name="Request-Id", value=info.request_id),
            Header(name="Session", value=session),
            Header(name="Model-Version", value=str(info.version)),
        )

    def _call(
        self,
        request: Request,
        workspace: Workspace,
        cancellation: Cancellation,
    ) -> Response:
        started_ms = self._dependencies.clock.now_ms()
        key = _request_key(request)
        if not isinstance(key, Success):
            return self._refuse(key.failure())
        call = self._call_request(request, workspace, key.unwrap())
        operation = self._dependencies.calls.operation(call)
        if not isinstance(operation, Success):
            return self._refuse_call(request, call, operation.failure())
        result = self._run_call(request, call, operation.unwrap(), cancellation)
        if not isinstance(result, Success):
            return self._refuse(result.failure())
        response = result.unwrap()
        if isinstance(response, Response):
            return response
        self._record_response("whole", started_ms)
        header = Header(name="Request-Id", value=response.request_id)
        return Response(
            status=response.status,
            content_type=response.content_type,
            body=response.body,
            headers=(header,),
        )

    def _refuse_call(
        self, request: Request, call: CallRequest, problem: Problem
    ) -> Response:
        if call.key is not None:
            keyed_id = KeyedRequestId(call.workspace.name, call.key.text)
            if self._dependencies.keyed_calls.is_first(keyed_id, call.key):
                return self._refuse(problem)
        return self._refuse_repeatable(request, problem)

    def _refuse_repeatable(
        self, request: Request, problem: Problem
    ) -> Response:
        """Refuses a request that may be a retry or a resumption.

        A retry may have run when it was first sent, and a resumed request has
        run, so the outcome ``not_run`` is replaced by ``unknown``.
        """
        claims_not_run = problem.outcome is Outcome.NOT_RUN
        retry_headers = ("idempotency-key", "last-event-id")
        if claims_not_run and any(map(request.header, retry_headers)):
            problem = dataclasses.replace(problem, outcome=Outcome.UNKNOWN)
        return self._refuse(problem)

    def _run_call(
        self,
        request: Request,
        call: CallRequest,
        operation: Operation,
        cancellation: Cancellation,
    ) -> Result[CallResponse | Response, Problem]:
        # A call with a registered key runs to its end even if its caller
        # disconnects: only the call that registers the key may run, so a retry
        # of a dropped call would be refused.
        is_registered = (
            isinstance(call.key, UnprefixedKey) and not operation.idempotent
        )
        run_cancellation = Cancellation() if is_registered else cancellation

        def execute() -> Result[CallResponse, Problem]:
            refusal = self._dependencies.gate.refusal(call.request_id)
            if refusal is not None:
                return Failure(refusal)
            return self._dependencies.calls.call(
                call, operation, run_cancellation
            )

        if operation.idempotent or call.key is None:
            return execute().map(lambda response: response)
        deadline_ms = self._dependencies.clock.now_ms() + operation.deadline_ms
        keyed = KeyedCall(
            request=request,
            keyed_id=KeyedRequestId(call.workspace.name, call.key.text),
            key=call.key,
            fingerprint=fingerprint(request),
            request_id=call.request_id,
            deadline_ms=deadline_ms,
            is_forwarded=bool(request.header(FORWARDED_HEADER)),
            cancellation=cancellation,
        )
        return self._dependencies.keyed_calls.run(keyed, execute)

    def _call_request(
        self, request: Request, workspace: Workspace, key: RequestKey | None
    ) -> CallRequest:
        rest = request.path.removeprefix(SERVICES_PREFIX)
        service, _, path = rest.partition("/")
        operation = path.partition("/")[0]
        query = urllib.parse.urlencode(request.query)
        return CallRequest(
            request_id=self._request_id(request, workspace, key),
            workspace=workspace,
            service=service,
            operation=operation,
            method=request.method,
            path=f"/{urllib.parse.quote(path)}"
            + (f"?{query}" if query else ""),
            body=request.body,
            content_type=request.header("content-type"),
            key=key,
        )

    def _request_id(
        self, request: Request, workspace: Workspace, key: RequestKey | None
    ) -> str:
        """Returns the identifier that a request runs and is billed under.

        Equal requests with the same key get the same identifier on every node.
        """
        if key is None:
            return f"{self._incarnation}-{next(self._request_numbers)}"
        named = f"{workspace.name}\0{key.text}\0".encode()
        digest = hashlib.sha256(named + fingerprint(request))
        return "key-" + digest.hexdigest()[:_KEYED_ID_DIGITS]

    def record_refusal(self, problem: Problem) -> None:
        """Counts a refusal by code and outcome."""
        outcome = problem.outcome.value if problem.outcome else "none"
        self._dependencies.metrics.count(
            "refusals",
            Label("code", problem.code),
            Label("outcome", outcome),
        )

    def _refuse(self, problem: Problem) -> Response:
        self.record_refusal(problem)
        return problem_response(problem)

    def _record_response(self, outcome: str, started_ms: int) -> None:
        elapsed_ms = self._dependencies.clock.now_ms() - started_ms
        self._dependencies.metrics.observe_ms("answer", elapsed_ms)
        self._dependencies.metrics.count("answers", Label("outcome", outcome))


def _request_key(request: Request) -> Result[RequestKey | None, Problem]:
    text = request.header("idempotency-key")
    if not text:
        return Success(None)
    parsed = parse_request_key(text)
    if isinstance(parsed, Success):
        return Success(parsed.unwrap())
    return Failure(bad_request("bad-key", str(parsed.failure())))


def _no_such_path_problem(request: Request) -> Problem:
    return Problem(
        status=404,
        code="no-such-path",
        title=f"there is no {request.method} {request.path}",
        outcome=Outcome.NOT_RUN,
    )
