"""Callers that disconnect while their requests wait or run."""

import dataclasses
import random
import threading
from collections.abc import Callable

import pytest
from returns.result import Result, Success

from trefoilpitch.bundle import token_digest
from trefoilpitch.callers import (
    CallerApi,
    CallerDependencies,
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
from trefoilpitch.upstreams import ServiceResponse
from trefoilpitch.web import Problem, Request, Response

_TIMEOUT_S = 30.0
_HOME = "node_1"
_TOKEN = "example-token"
_FOREIGN_KEY = "loan-7"
_DONE = Success(ServiceResponse(status=200, body=b"done", headers=()))
_CALLER_GONE = "refusals{code=caller-gone,outcome=not_run}"


class _Home:
    """A single ready node that is the home of every key."""

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
    """Signals when a retry starts to wait for the first request."""

    def __init__(self) -> None:
        self.joined = threading.Event()

    def sleep(self, duration_ms: int) -> None:
        raise NotImplementedError

    def wait(self, changed: threading.Condition, timeout_ms: int) -> None:
        self.joined.set()
        changed.wait(_TIMEOUT_S)


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
        self.api = CallerApi(_HOME, self._dependencies())

    def post(
        self, path: str, body: bytes = b"{}", key: str = ""
    ) -> tuple[Request, Callable[[], Response]]:
        """Returns a request and a function that sends it."""
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
        """Keeps calls waiting for cold workers while an action runs."""
        self.harness.gates.cold = {"worker-a", "worker-b"}
        self.harness.waiter.wait_actions = [
            wait_actions,
            self.harness.gates.cold.clear,
        ]

    def _dependencies(self) -> CallerDependencies:
        harness, home = self.harness, _Home()
        registry: RequestRegistry[CallResult] = RequestRegistry()
        return CallerDependencies(
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


def test_a_queued_request_whose_caller_disconnects_is_dropped() -> None:
    node = _Node()
    node.harness.gates.cold = {"engine-a", "engine-b"}
    for engine in node.harness.engines.values():
        engine.script(*completion_items("text"))
    messages = b'[{"role": "user", "content": "hymn"}]'
    body = b'{"model": "tag", "messages": ' + messages + b"}"
    request, send = node.post("/v1/chat/completions", body)
    node.harness.waiter.wait_actions = [request.disconnect.trigger]
    send()
    assert node.metrics.counters()[_CALLER_GONE] == 1
    assert not any(one.requests for one in node.harness.engines.values())


def test_a_joined_retry_runs_when_the_first_caller_disconnects() -> None:
    node = _Node()
    node.harness.call_results = [_DONE]
    key = node.key()
    request, send = node.lend(key)
    _, send_retry = node.lend(key)
    responses: list[Response] = []
    retry = threading.Thread(target=lambda: responses.append(send_retry()))

    def disconnect_once_joined() -> None:
        retry.start()
        assert node.waiter.joined.wait(_TIMEOUT_S)
        node.harness.gates.cold.clear()
        request.disconnect.trigger()

    node.wait_for_workers(disconnect_once_joined)
    send()
    retry.join(_TIMEOUT_S)
    assert [response.body for response in responses] == [b"done"]
    assert len(node.harness.calls) == len(node.harness.bills) == 1
    assert node.metrics.counters()[_CALLER_GONE] == 1


def test_a_joined_retry_stops_waiting_when_its_caller_disconnects() -> None:
    node = _Node()
    node.harness.call_results = [_DONE]
    key = node.key()
    _, send = node.lend(key)
    request, send_retry = node.lend(key)
    responses: list[Response] = []
    retry = threading.Thread(target=lambda: responses.append(send_retry()))

    def disconnect_once_joined() -> None:
        retry.start()
        assert node.waiter.joined.wait(_TIMEOUT_S)
        request.disconnect.trigger()
        retry.join(_TIMEOUT_S)
        # The first call is still running.
        assert [response.status for response in responses] == [409]

    node.harness.on_call = disconnect_once_joined
    assert send().body == b"done"


def test_a_call_with_a_registered_key_is_not_dropped() -> None:
    node = _Node()
    node.harness.call_results = [_DONE]
    request, send = node.lend(_FOREIGN_KEY)
    node.wait_for_workers(request.disconnect.trigger)
    assert send().body == b"done"
    _, send_retry = node.lend(_FOREIGN_KEY)
    assert send_retry().body == b"done"
    assert len(node.harness.calls) == 1


@pytest.mark.parametrize("is_homed", [False, True])
def test_the_outcome_of_a_call_that_was_sent_is_recorded(
    is_homed: bool,
) -> None:
    node = _Node()
    node.harness.call_results = [_DONE]
    key = node.key() if is_homed else _FOREIGN_KEY
    request, send = node.lend(key)
    node.harness.on_call = request.disconnect.trigger
    assert send().body == b"done"
    _, send_retry = node.lend(key)
    assert send_retry().body == b"done"
    assert len(node.harness.calls) == 1
    assert [bill.is_whole for bill in node.harness.bills] == [True]
