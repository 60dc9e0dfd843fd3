"""The API that callers use."""

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
    WholeAnswer,
    encode_whole,
)
from trefoilpitch.callers._entries import EntriesEndpoint
from trefoilpitch.callers._keyed_calls import KeyedCall, KeyedCalls
from trefoilpitch.callers._streams import StreamBody
from trefoilpitch.clock import Clock
from trefoilpitch.identity import (
    ForeignKey,
    RequestKey,
    Session,
    TokenSigner,
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
class CallerServices:
    """What the caller API hands requests to."""

    # The newest configuration.
    configuration: ConfigurationSource
    # Refuses new work that the node must not take.
    gate: AdmissionGate
    # Runs model work.
    chat: ChatHandler
    # Takes up answers.
    resumption: ResumeHandler
    # Runs calls of plain services.
    calls: CallHandler
    # Runs keyed calls at most once.
    keyed_calls: KeyedCalls
    # Chooses entry VMs.
    entries: EntriesEndpoint
    # Signs sessions and resume points.
    signer: TokenSigner
    # Counts requests.
    metrics: Metrics
    # Measures latencies.
    clock: Clock


class CallerApi:
    """Authenticates callers and routes their requests.

    Args:
        incarnation: Names this process in request identifiers.
        services: What requests are handed to.
    """

    def __init__(self, incarnation: str, services: CallerServices) -> None:
        self._incarnation = incarnation
        self._services = services
        self._numbers = itertools.count(1)

    def handle(self, request: Request) -> Response:
        """Answers one request."""
        if request.path == HEALTH_PATH:
            return Response(body=b"{}")
        if request.path == ENTRIES_PATH and request.method == "GET":
            return self._services.entries.handle(request)
        handler = self._handler(request)
        if handler is None:
            return problem_response(_no_such_path(request))
        authenticated = self._authenticate(request)
        if not isinstance(authenticated, Success):
            return self._refuse_repeatable(request, authenticated.failure())
        cancellation = Cancellation()
        # A stream is watched until its first part is there: from then on
        # sending fails once its caller has gone.
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
        table = self._services.configuration.table()
        workspace = table.workspaces_by_token.get(digest)
        if workspace is not None:
            return Success(workspace)
        if table.configuration.bundle is None:
            refusal = self._services.gate.refusal("")
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
        started_ms = self._services.clock.now_ms()
        if request.header("last-event-id"):
            answer = self._resume(request, workspace, cancellation)
            is_stream = True
        else:
            decoded = self._chat_request(request, workspace)
            if not isinstance(decoded, Success):
                return self._refuse_repeatable(request, decoded.failure())
            chat = decoded.unwrap()
            is_stream = chat.stream
            answer = self._begin(chat, cancellation)
        if not isinstance(answer, Success):
            return self._refuse_repeatable(request, answer.failure())
        if is_stream:
            return self._stream(answer.unwrap(), started_ms)
        return self._whole(answer.unwrap(), started_ms)

    def _begin(
        self, chat: ChatRequest, cancellation: Cancellation
    ) -> Result[ChatResponse, Problem]:
        refusal = self._services.gate.refusal(chat.request_id)
        if refusal is not None:
            return Failure(refusal)
        return self._services.chat.answer(chat, cancellation)

    def _resume(
        self,
        request: Request,
        workspace: Workspace,
        cancellation: Cancellation,
    ) -> Result[ChatResponse, Problem]:
        event_id = request.header("last-event-id")
        token, _, index = event_id.rpartition(EVENT_ID_SEPARATOR)
        point = self._services.signer.read_resume_point(token)
        if not isinstance(point, Success) or not index.isdecimal():
            title = "Last-Event-ID was not issued here"
            return Failure(bad_request("bad-event-id", title))
        if point.unwrap().workspace != workspace.name:
            title = "Last-Event-ID belongs to another workspace"
            return Failure(bad_request("bad-event-id", title))
        return self._services.resumption.resume(
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
        session = self._services.signer.read_session(token)
        if not isinstance(session, Success):
            title = f"Session is not valid: {session.failure()}"
            return Failure(bad_request("bad-session", title))
        if session.unwrap().workspace != workspace.name:
            title = "Session belongs to another workspace"
            return Failure(bad_request("bad-session", title))
        return Success(session.unwrap())

    def _stream(self, answer: ChatResponse, started_ms: int) -> Response:
        services = self._services
        token = services.signer.sign_resume_point(answer.info.resume_point)
        body = StreamBody(
            answer, token, started_ms, services.clock, services.metrics
        )
        return Response(
            content_type=EVENT_STREAM_TYPE,
            body=body,
            headers=(
                *self._answer_headers(answer.info),
                Header(name="Cache-Control", value="no-store"),
            ),
        )

    def _whole(self, answer: ChatResponse, started_ms: int) -> Response:
        texts: list[str] = []
        completed: Completed | None = None
        try:
            for event in answer:
                if isinstance(event, Delta):
                    texts.append(event.text)
                elif isinstance(event, Completed):
                    completed = event
                else:
                    assert isinstance(event, Truncated)
                    return self._refuse(event.problem)
        finally:
            answer.close()
        assert completed is not None
        whole = WholeAnswer(
            info=answer.info, text="".join(texts), completed=completed
        )
        self._count_answer("whole", started_ms)
        return Response(
            body=encode_whole(whole),
            headers=self._answer_headers(answer.info),
        )

    def _answer_headers(self, info: ResponseInfo) -> tuple[Header, ...]:
        session = self._services.signer.sign_session(info.session)
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
        started_ms = self._services.clock.now_ms()
        key = _request_key(request)
        if not isinstance(key, Success):
            return self._refuse(key.failure())
        call = self._call_request(request, workspace, key.unwrap())
        operation = self._services.calls.operation(call)
        if not isinstance(operation, Success):
            return self._refuse_call(request, call, operation.failure())
        result = self._run_call(request, call, operation.unwrap(), cancellation)
        if not isinstance(result, Success):
            return self._refuse(result.failure())
        answer = result.unwrap()
        if isinstance(answer, Response):
            return answer
        self._count_answer("whole", started_ms)
        header = Header(name="Request-Id", value=answer.request_id)
        return Response(
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body,
            headers=(header,),
        )

    def _refuse_call(
        self, request: Request, call: CallRequest, problem: Problem
    ) -> Response:
        if call.key is not None:
            keyed_id = KeyedRequestId(call.workspace.name, call.key.text)
            if self._services.keyed_calls.is_first(keyed_id, call.key):
                return self._refuse(problem)
        return self._refuse_repeatable(request, problem)

    def _refuse_repeatable(
        self, request: Request, problem: Problem
    ) -> Response:
        """Refuses a request that may have been sent before.

        What is refused now may have run when it was first sent, and what is
        to be resumed did, so nothing is claimed about it.
        """
        is_claim = problem.outcome is Outcome.NOT_RUN
        repeats = ("idempotency-key", "last-event-id")
        if is_claim and any(map(request.header, repeats)):
            problem = dataclasses.replace(problem, outcome=Outcome.UNKNOWN)
        return self._refuse(problem)

    def _run_call(
        self,
        request: Request,
        call: CallRequest,
        operation: Operation,
        cancellation: Cancellation,
    ) -> Result[CallResponse | Response, Problem]:
        # Were a call with a registered key dropped, a repeat would be refused:
        # only the first use of such a key is known to be the first.
        is_bound = isinstance(call.key, ForeignKey) and not operation.idempotent
        of_run = Cancellation() if is_bound else cancellation

        def execute() -> Result[CallResponse, Problem]:
            refusal = self._services.gate.refusal(call.request_id)
            if refusal is not None:
                return Failure(refusal)
            return self._services.calls.call(call, operation, of_run)

        if operation.idempotent or call.key is None:
            return execute().map(lambda answer: answer)
        deadline_ms = self._services.clock.now_ms() + operation.deadline_ms
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
        return self._services.keyed_calls.run(keyed, execute)

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
        """Returns the identifier under which a request runs and is billed.

        Equal requests with equal keys get equal identifiers on every node.
        """
        if key is None:
            return f"{self._incarnation}-{next(self._numbers)}"
        named = f"{workspace.name}\0{key.text}\0".encode()
        digest = hashlib.sha256(named + fingerprint(request))
        return "key-" + digest.hexdigest()[:_KEYED_ID_DIGITS]

    def note_refusal(self, problem: Problem) -> None:
        """Counts a refusal."""
        outcome = problem.outcome.value if problem.outcome else "none"
        self._services.metrics.count(
            "refusals",
            Label("code", problem.code),
            Label("outcome", outcome),
        )

    def _refuse(self, problem: Problem) -> Response:
        self.note_refusal(problem)
        return problem_response(problem)

    def _count_answer(self, outcome: str, started_ms: int) -> None:
        elapsed_ms = self._services.clock.now_ms() - started_ms
        self._services.metrics.observe_ms("answer", elapsed_ms)
        self._services.metrics.count("answers", Label("outcome", outcome))


def _request_key(request: Request) -> Result[RequestKey | None, Problem]:
    text = request.header("idempotency-key")
    if not text:
        return Success(None)
    parsed = parse_request_key(text)
    if isinstance(parsed, Success):
        return Success(parsed.unwrap())
    return Failure(bad_request("bad-key", str(parsed.failure())))


def _no_such_path(request: Request) -> Problem:
    return Problem(
        status=404,
        code="no-such-path",
        title=f"there is no {request.method} {request.path}",
        outcome=Outcome.NOT_RUN,
    )
