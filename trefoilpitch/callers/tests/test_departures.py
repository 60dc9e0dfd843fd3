"""Callers that leave while their requests wait or run."""

import dataclasses
import random
import threading
from collections.abc import Callable

import pytest
from returns.result import Result, Success

from trefoilpitch.bundle import token_digest
from trefoilpitch.callers import (
    CallerApi,
    CallerServices,
    CallResult,
    EntriesEndpoint,
    KeyedCalls,
    Registration,
)
from trefoilpitch.identity import TokenSigner, issue_key_prefix
from trefoilpitch.membership import MembershipView
from trefoilpitch.metrics import Metrics
from trefoilpitch.requests import KeyedRequestId, RequestRegistry
from trefoilpitch.serving import AdmissionGate, KeyedRequests, ResumeHandler
from trefoilpitch.serving.tests.harness import (
    WORKSPACE,
    ServingHarness,
    completion_items,
)
from trefoilpitch.upstreams import ServiceReply
from trefoilpitch.web import Problem, Request, Response

_PATIENCE_S = 30.0
_HOME = "node_1"
_TOKEN = "example-token"
_FOREIGN_KEY = "loan-7"
_DONE = Success(ServiceReply(status=200, body=b"done", headers=()))
_GONE = "refusals{code=caller-gone,outcome=not_run}"


class _Home:
    """A node that is ready, alone, and the home of every key."""

    own = _HOME

    def caller_address(self, incarnation: str) -> str | None:
        return None

    def register(
        self, keyed_id: KeyedRequestId, deadline_ms: int
    ) -> Result[Registration, Problem]:
        return Success(Registration(home=_HOME, is_new=True))

    def forward(
        self, address: str, request: Request, deadline_ms: int
    ) -> Result[Response, Problem]:
        raise NotImplementedError

    def view(self) -> MembershipView:
        raise NotImplementedError

    def is_ready(self) -> bool:
        return True

    is_fresh = accepts_work = is_in_service = is_ready


class _JoinWaiter:
    """Tells that a repeat has begun to wait for the first request."""

    def __init__(self) -> None:
        self.joined = threading.Event()

    def sleep(self, duration_ms: int) -> None:
        raise NotImplementedError

    def wait(self, changed: threading.Condition, timeout_ms: int) -> None:
        self.joined.set()
        changed.wait(_PATIENCE_S)


class _Node:
    def __init__(self) -> None:
        self.harness = ServingHarness()
        self.metrics = Metrics()
        self.waiter = _JoinWaiter()
        bundle = self.harness.configuration.bundle
        assert bundle is not None
        workspace = dataclasses.replace(
            WORKSPACE, token_sha256=token_digest(_TOKEN)
        )
        self.harness.configuration = dataclasses.replace(
            self.harness.configuration,
            bundle=dataclasses.replace(bundle, workspaces=(workspace,)),
        )
        self.api = CallerApi(_HOME, self._services())

    def post(
        self, path: str, body: bytes = b"{}", key: str = ""
    ) -> tuple[Request, Callable[[], Response]]:
        """Returns a request and what sends it."""
        headers = {"authorization": f"Bearer {_TOKEN}"}
        if key:
            headers["idempotency-key"] = key
        request = Request(
            method="POST", path=path, query={}, headers=headers, body=body
        )
        return request, lambda: self.api.handle(request)

    def lend(self, key: str = "") -> tuple[Request, Callable[[], Response]]:
        return self.post("/v1/services/loans/create-loan", key=key)

    def key(self) -> str:
        return issue_key_prefix(_HOME, self.harness.clock.now_ms()) + "7"

    def wait_for_workers(self, wait_actions: Callable[[], None]) -> None:
        """Makes calls wait, does something, and lets them go on."""
        self.harness.gates.cold = {"worker-a", "worker-b"}
        self.harness.waiter.wait_actions = [
            wait_actions,
            self.harness.gates.cold.clear,
        ]

    def _services(self) -> CallerServices:
        harness, home = self.harness, _Home()
        registry: RequestRegistry[CallResult] = RequestRegistry()
        return CallerServices(
            configuration=harness,
            gate=AdmissionGate(home, harness),
            chat=harness.chat,
            resumption=ResumeHandler(
                configuration=harness,
                clients=harness,
                bills=harness,
                clock=harness.clock,
            ),
            calls=harness.call_handler,
            keyed_calls=KeyedCalls(
                homes=home,
                register=home,
                forwarder=home,
                keyed=KeyedRequests(registry, harness.clock, self.waiter),
                clock=harness.clock,
            ),
            entries=EntriesEndpoint(
                views=home,
                configuration=harness,
                incarnation=_HOME,
                clock=harness.clock,
                rng=random.Random(7),
            ),
            signer=TokenSigner((b"k" * 32,)),
            metrics=self.metrics,
            clock=harness.clock,
        )


def test_a_whole_answer_whose_caller_leaves_the_queue_is_dropped() -> None:
    node = _Node()
    node.harness.gates.cold = {"engine-a", "engine-b"}
    for engine in node.harness.engines.values():
        engine.script(*completion_items("text"))
    messages = b'[{"role": "user", "content": "hymn"}]'
    body = b'{"model": "tag", "messages": ' + messages + b"}"
    request, send = node.post("/v1/chat/completions", body)
    node.harness.waiter.wait_actions = [request.disconnect.trigger]
    send()
    assert node.metrics.counters()[_GONE] == 1
    assert not any(one.requests for one in node.harness.engines.values())


def test_a_repeat_that_joined_runs_when_the_first_caller_leaves() -> None:
    node = _Node()
    node.harness.call_results = [_DONE]
    key = node.key()
    request, send = node.lend(key)
    _, send_again = node.lend(key)
    replies: list[Response] = []
    repeat = threading.Thread(target=lambda: replies.append(send_again()))

    def leave_once_joined() -> None:
        repeat.start()
        assert node.waiter.joined.wait(_PATIENCE_S)
        node.harness.gates.cold.clear()
        request.disconnect.trigger()

    node.wait_for_workers(leave_once_joined)
    send()
    repeat.join(_PATIENCE_S)
    assert [reply.body for reply in replies] == [b"done"]
    assert len(node.harness.calls) == len(node.harness.bills) == 1
    assert node.metrics.counters()[_GONE] == 1


def test_a_repeat_whose_caller_leaves_waits_no_longer() -> None:
    node = _Node()
    node.harness.call_results = [_DONE]
    key = node.key()
    _, send = node.lend(key)
    request, send_again = node.lend(key)
    replies: list[Response] = []
    repeat = threading.Thread(target=lambda: replies.append(send_again()))

    def leave_once_joined() -> None:
        repeat.start()
        assert node.waiter.joined.wait(_PATIENCE_S)
        request.disconnect.trigger()
        repeat.join(_PATIENCE_S)
        # The first one is still running.
        assert [reply.status for reply in replies] == [409]

    node.harness.on_call = leave_once_joined
    assert send().body == b"done"


def test_a_call_with_a_registered_key_is_not_dropped() -> None:
    node = _Node()
    node.harness.call_results = [_DONE]
    request, send = node.lend(_FOREIGN_KEY)
    node.wait_for_workers(request.disconnect.trigger)
    assert send().body == b"done"
    _, send_again = node.lend(_FOREIGN_KEY)
    assert send_again().body == b"done"
    assert len(node.harness.calls) == 1


@pytest.mark.parametrize("is_homed", [False, True])
def test_the_outcome_of_a_call_that_was_sent_is_kept(is_homed: bool) -> None:
    node = _Node()
    node.harness.call_results = [_DONE]
    key = node.key() if is_homed else _FOREIGN_KEY
    request, send = node.lend(key)
    node.harness.on_call = request.disconnect.trigger
    assert send().body == b"done"
    _, send_again = node.lend(key)
    assert send_again().body == b"done"
    assert len(node.harness.calls) == 1
    assert [bill.is_whole for bill in node.harness.bills] == [True]
