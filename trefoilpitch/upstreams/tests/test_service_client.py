import contextlib
from collections.abc import Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Result

from trefoilpitch.clock import Clock, ManualClock
from trefoilpitch.retries import Execution
from trefoilpitch.standins import Fault, ServiceSettings, open_service_stand_in
from trefoilpitch.upstreams import (
    DeadlineExceededError,
    DeadlineMonitor,
    ErrorReplyError,
    IncompleteReplyError,
    InvalidRequestError,
    MismatchedReplyError,
    OverloadedError,
    RefusedError,
    ReplyTooLargeError,
    ServiceClient,
    ServiceRequest,
    ServiceResponse,
    Timeouts,
    UpstreamError,
    open_service_client,
)
from trefoilpitch.upstreams._connection_pool import MAX_IDLE_MS
from trefoilpitch.upstreams.tests.harness import (
    CLOCK,
    DEADLINE_MS,
    advancing_when,
    wait_until,
)
from trefoilpitch.upstreams.tests.raw_server import raw_server

_OK = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"


@contextlib.contextmanager
def _client(
    address: str, timeouts: Timeouts | None = None, *, clock: Clock = CLOCK
) -> Iterator[ServiceClient]:
    with (
        DeadlineMonitor(clock) as deadline_monitor,
        open_service_client(
            upstream="s1",
            address=address,
            clock=clock,
            deadline_monitor=deadline_monitor,
            max_body_bytes=1000,
            timeouts=timeouts,
        ) as client,
    ):
        yield client


def _call(
    client: ServiceClient,
    request_id: str = "r1",
    *,
    method: str = "POST",
    path: str = "/loans",
    body: bytes = b"{}",
    headers: tuple[tuple[str, str], ...] = (),
    deadline_ms: int = DEADLINE_MS,
    clock: Clock = CLOCK,
) -> Result[ServiceResponse, UpstreamError]:
    request = ServiceRequest(
        request_id=request_id,
        method=method,
        path=path,
        body=body,
        headers=headers,
        deadline_ms=clock.now_ms() + deadline_ms,
    )
    return client.call(request)


@pytest.mark.parametrize(
    ("fault", "error", "execution", "effects"),
    [
        (
            Fault(kind="drop_reply"),
            IncompleteReplyError,
            Execution.UNKNOWN,
            1,
        ),
        (
            Fault(kind="short_body"),
            IncompleteReplyError,
            Execution.UNKNOWN,
            1,
        ),
        (
            Fault(kind="excess_body"),
            IncompleteReplyError,
            Execution.UNKNOWN,
            1,
        ),
        (
            Fault(kind="missing_end"),
            IncompleteReplyError,
            Execution.UNKNOWN,
            1,
        ),
        (
            Fault(kind="missing_length"),
            IncompleteReplyError,
            Execution.UNKNOWN,
            1,
        ),
        (Fault(kind="crossed"), MismatchedReplyError, Execution.UNKNOWN, 1),
        (Fault(kind="error_status"), ErrorReplyError, Execution.RAN, 1),
        (Fault(kind="refuse"), RefusedError, Execution.NOT_RUN, 0),
        (
            Fault(kind="refuse", not_run=False),
            OverloadedError,
            Execution.UNKNOWN,
            0,
        ),
    ],
)
def test_a_fault_maps_to_its_error_and_execution(
    fault: Fault,
    error: type[UpstreamError],
    execution: Execution,
    effects: int,
) -> None:
    with (
        open_service_stand_in(ServiceSettings()) as service,
        _client(service.address) as client,
    ):
        service.inject(fault)
        failure = _call(client).failure()
        assert (type(failure), failure.execution) == (error, execution)
        assert service.effects.count("loans", "r1") == effects
        # Leftover bytes of the failed response do not reach the next call.
        assert b'"request_id":"r2"' in _call(client, "r2").unwrap().body
        assert service.effects.count("loans", "r2") == 1


def test_a_late_response_does_not_reach_the_next_call() -> None:
    clock = ManualClock()
    with (
        open_service_stand_in(ServiceSettings()) as service,
        _client(
            service.address, Timeouts(first_byte_ms=30), clock=clock
        ) as client,
    ):
        service.inject(Fault(kind="delay", delay_ms=300))
        with advancing_when(lambda: not service.pending_faults, clock, 30):
            failure = _call(client, clock=clock).failure()
        assert type(failure) is DeadlineExceededError
        assert failure.execution is Execution.UNKNOWN
        response = _call(client, "r2", clock=clock).unwrap()
        assert b'"request_id":"r2"' in response.body


def test_connections_are_reused() -> None:
    response = _OK + b"Content-Length: 2\r\n\r\nok"
    with (
        raw_server([response, response, response], hold=True) as server,
        _client(server.address) as client,
    ):
        for _ in range(3):
            assert _call(client).unwrap().body == b"ok"
        assert server.accepted == 1


def test_a_connection_that_the_upstream_will_close_is_not_pooled() -> None:
    response = _OK + b"Connection: close\r\nContent-Length: 2\r\n\r\nok"
    with (
        raw_server([response], hold=True) as server,
        _client(server.address) as client,
    ):
        assert _call(client).unwrap().body == b"ok"
        assert client.stats.connections_idle == 0


def test_a_connection_closed_while_idle_is_replaced_before_sending() -> None:
    response = _OK + b"Content-Length: 2\r\n\r\nok"
    with (
        raw_server([response], [response]) as server,
        _client(server.address) as client,
    ):
        assert _call(client).unwrap().body == b"ok"
        wait_until(lambda: server.finished == 1)
        assert _call(client).unwrap().body == b"ok"
        assert server.accepted == 2


def test_a_connection_idle_beyond_the_limit_is_not_reused() -> None:
    response = _OK + b"Content-Length: 2\r\n\r\nok"
    clock = ManualClock()
    with (
        raw_server([response, response], [response], hold=True) as server,
        _client(server.address, clock=clock) as client,
    ):
        assert _call(client, clock=clock).unwrap().body == b"ok"
        clock.advance(MAX_IDLE_MS + 1)
        assert _call(client, clock=clock).unwrap().body == b"ok"
        assert server.accepted == 2


@pytest.mark.parametrize(
    ("response", "error"),
    [
        (b"", IncompleteReplyError),
        (b"HTTP/1.1 200 OK\r\nRequest-", IncompleteReplyError),
        (b"220 mail.example\r\n\r\n", IncompleteReplyError),
        # Invalid or ambiguous lengths.
        (_OK + b"Content-Length: -1\r\n\r\nok", IncompleteReplyError),
        (_OK + b"Content-Length: 2, 3\r\n\r\nok", IncompleteReplyError),
        (
            _OK + b"Content-Length: " + b"9" * 5000 + b"\r\n\r\nok",
            IncompleteReplyError,
        ),
        (
            _OK + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
            IncompleteReplyError,
        ),
        (
            _OK + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n0\r\n\r\n",
            IncompleteReplyError,
        ),
        # Truncated or malformed chunked bodies.
        (
            _OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
            IncompleteReplyError,
        ),
        (
            _OK + b"Transfer-Encoding: chunked\r\n\r\n5\r\nok",
            IncompleteReplyError,
        ),
        (
            _OK + b"Transfer-Encoding: chunked\r\n\r\n-1\r\nok\r\n0\r\n\r\n",
            IncompleteReplyError,
        ),
        # A malformed header line.
        (
            _OK + b"Content-Length: 2\r\nnonsense\r\n\r\nok",
            IncompleteReplyError,
        ),
        # Two responses to one request.
        (
            (_OK + b"Content-Length: 2\r\n\r\nok") * 2,
            IncompleteReplyError,
        ),
        (
            _OK + b"Content-Length: 1001\r\n\r\n" + b"x" * 1001,
            ReplyTooLargeError,
        ),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", MismatchedReplyError),
        # A refusal of another request, a truncated refusal, and Not-Run with a
        # status that is no refusal.
        (
            b"HTTP/1.1 503 Busy\r\nRequest-Id: r2\r\nNot-Run: true\r\n"
            b"Content-Length: 0\r\n\r\n",
            MismatchedReplyError,
        ),
        (
            b"HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Run: true\r\n"
            b"Content-Length: 9\r\n\r\n",
            IncompleteReplyError,
        ),
        (
            b"HTTP/1.1 502 Bad Gateway\r\nRequest-Id: r1\r\nNot-Run: true\r\n"
            b"Content-Length: 0\r\n\r\n",
            OverloadedError,
        ),
    ],
)
def test_a_malformed_response_leaves_execution_unknown(
    response: bytes, error: type[UpstreamError]
) -> None:
    with raw_server([response]) as server, _client(server.address) as client:
        failure = _call(client).failure()
    assert (type(failure), failure.execution) == (error, Execution.UNKNOWN)


@pytest.mark.parametrize(
    ("method", "response", "body"),
    [
        ("POST", b"HTTP/1.1 204 None\r\nRequest-Id: r1\r\n\r\n", b""),
        ("HEAD", _OK + b"Content-Length: 9\r\n\r\n", b""),
        ("GET", _OK + b"Content-Length: 0\r\n\r\n", b""),
        (
            "GET",
            _OK + b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
            b"ok",
        ),
        ("GET", b"HTTP/1.0" + _OK[8:] + b"Content-Length: 2\r\n\r\nok", b"ok"),
    ],
)
def test_responses_of_every_framing_are_read(
    method: str, response: bytes, body: bytes
) -> None:
    with raw_server([response]) as server, _client(server.address) as client:
        assert _call(client, method=method).unwrap().body == body


def test_a_redirect_is_not_followed() -> None:
    response = (
        b"HTTP/1.1 307 Moved\r\nRequest-Id: r1\r\nLocation: /loans\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    with raw_server([response]) as server, _client(server.address) as client:
        assert _call(client).unwrap().status == 307
        assert len(server.requests) == 1


@pytest.mark.parametrize("piece", [b"H", _OK + b"X: y\r\n", _OK[:20]])
def test_headers_that_never_end_time_out(piece: bytes) -> None:
    with (
        raw_server([piece], hold=True) as server,
        _client(server.address, Timeouts(first_byte_ms=30)) as client,
    ):
        failure = _call(client).failure()
    assert type(failure) is DeadlineExceededError
    assert failure.execution is Execution.UNKNOWN


def test_a_stalled_response_with_connection_close_times_out() -> None:
    piece = _OK + b"Connection: close\r\nContent-Length: 9\r\n\r\nok"
    with (
        raw_server([piece], hold=True) as server,
        _client(server.address, Timeouts(chunk_gap_ms=30)) as client,
    ):
        assert type(_call(client).failure()) is DeadlineExceededError


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("path", "/loans\r\nX: y"),
        ("path", "/lo ans"),
        ("path", "loans"),
        ("method", "PO ST"),
        ("request_id", "r1\r\nNot-Run: true"),
        ("headers", (("X\n", "y"),)),
        ("headers", (("X", "y\r\nZ: 1"),)),
        ("body", b"x" * 1001),
    ],
)
def test_an_invalid_request_is_not_sent(field: str, value: str | bytes) -> None:
    with raw_server([b""]) as server, _client(server.address) as client:
        failure = _call(client, **{field: value}).failure()  # type: ignore[arg-type]
        assert type(failure) is InvalidRequestError
        assert failure.execution is Execution.NOT_RUN
        assert server.accepted == 0


def test_a_caller_cannot_override_the_headers_of_the_connection() -> None:
    response = _OK + b"Content-Length: 0\r\n\r\n"
    headers = (
        ("request-id", "r9"),
        ("Content-Length", "99"),
        ("Transfer-Encoding", "chunked"),
        ("X-Branch", "Ba"),
    )
    with raw_server([response]) as server, _client(server.address) as client:
        _call(client, headers=headers).unwrap()
        sent = server.requests[0].lower()
    assert sent.count(b"request-id") == 1
    assert b"request-id: r1\r\n" in sent
    assert b"content-length: 2\r\n" in sent
    assert b"chunked" not in sent
    assert b"x-branch: ba\r\n" in sent


@given(
    st.one_of(
        st.binary(max_size=200),
        st.binary(max_size=200).map(lambda data: _OK + data),
        st.binary(max_size=99).map(
            lambda data: _OK + b"Transfer-Encoding: chunked\r\n\r\n" + data
        ),
    )
)
@settings(derandomize=True, deadline=None, max_examples=150)
def test_any_bytes_end_in_a_response_or_a_typed_failure(
    response: bytes,
) -> None:
    with raw_server([response]) as server, _client(server.address) as client:
        result = _call(client)
        failure = result.swap().value_or(None)
        if failure is not None:
            assert failure.execution is not Execution.NOT_RUN
