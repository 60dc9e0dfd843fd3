import dataclasses
import threading

import pytest
from returns.result import Success

from trefoilpitch.bundle import VersionRef
from trefoilpitch.clock import Clock, ManualClock
from trefoilpitch.retries import Execution
from trefoilpitch.standins import EngineSettings, Fault
from trefoilpitch.upstreams import (
    Cancellation,
    CancelledError,
    Chunk,
    CompletionRequest,
    ConnectError,
    DeadlineExceededError,
    ErrorReplyError,
    Finish,
    IncompleteReplyError,
    LoadReport,
    MismatchedReplyError,
    Order,
    OrderKind,
    OverloadedError,
    PoolExhaustedError,
    RefusedError,
    ResponseGoneError,
    ResumeError,
    StaleFencingError,
    Timeouts,
    UpstreamError,
    collect,
)
from trefoilpitch.upstreams.tests.harness import (
    CLOCK,
    DEADLINE_MS,
    VERSION,
    EngineHarness,
    MonitoredClock,
    advancing_when,
    completion,
    open_engine_harness,
    raw_client,
    wait_until,
)
from trefoilpitch.upstreams.tests.raw_server import raw_server


def _failure(harness: EngineHarness, *, clock: Clock = CLOCK) -> UpstreamError:
    """Starts a completion that must fail, at its start or while streaming."""
    started = harness.client.start(completion("r1", clock=clock))
    try:
        stream = started.unwrap()
    except Exception:
        return started.failure()
    with stream, pytest.raises(UpstreamError) as raised:
        list(stream)
    return raised.value


def _deadline_ms() -> int:
    return CLOCK.now_ms() + DEADLINE_MS


def test_a_complete_response_arrives_in_order() -> None:
    with open_engine_harness() as harness:
        with harness.client.start(completion()).unwrap() as stream:
            chunks, finish = collect(stream)
        assert [chunk.index for chunk in chunks] == list(range(len(chunks)))
        assert sum(chunk.tokens for chunk in chunks) == finish.output_tokens
        assert harness.engine.run_counts() == {"r1": 1}


@pytest.mark.parametrize(
    ("fault", "error", "execution"),
    [
        (Fault(kind="crossed"), MismatchedReplyError, Execution.UNKNOWN),
        (Fault(kind="crossed_events"), MismatchedReplyError, Execution.UNKNOWN),
        (Fault(kind="wrong_version"), MismatchedReplyError, Execution.UNKNOWN),
        (
            Fault(kind="cut_stream", after=2),
            IncompleteReplyError,
            Execution.UNKNOWN,
        ),
        (Fault(kind="gap", after=2), IncompleteReplyError, Execution.UNKNOWN),
        (
            Fault(kind="repeat", after=2),
            IncompleteReplyError,
            Execution.UNKNOWN,
        ),
        (Fault(kind="missing_end"), IncompleteReplyError, Execution.UNKNOWN),
        (Fault(kind="malformed"), IncompleteReplyError, Execution.UNKNOWN),
        (Fault(kind="error_event", after=2), ErrorReplyError, Execution.RAN),
        (Fault(kind="refuse"), RefusedError, Execution.NOT_RUN),
        (Fault(kind="refuse", status=429), RefusedError, Execution.NOT_RUN),
        (
            Fault(kind="refuse", not_run=False),
            OverloadedError,
            Execution.UNKNOWN,
        ),
        (
            Fault(kind="refuse", status=500, not_run=False),
            ErrorReplyError,
            Execution.RAN,
        ),
        # Not-Run is trusted only with a refusal status.
        (Fault(kind="refuse", status=500), ErrorReplyError, Execution.RAN),
    ],
)
def test_a_faulty_response_is_never_accepted_as_complete(
    fault: Fault, error: type[UpstreamError], execution: Execution
) -> None:
    with open_engine_harness() as harness:
        harness.engine.inject(fault)
        failure = _failure(harness)
        assert (type(failure), failure.execution) == (error, execution)
        # Leftover bytes of the failed response do not reach the next request.
        with harness.client.start(completion("r2")).unwrap() as stream:
            collect(stream)


def test_a_refused_connection_is_not_run() -> None:
    with open_engine_harness() as harness:
        address = harness.engine.address
    with raw_client(address) as client:
        failure = client.start(completion()).failure()
    assert type(failure) is ConnectError
    assert failure.execution is Execution.NOT_RUN


def test_an_exhausted_pool_refuses_before_sending() -> None:
    with open_engine_harness(max_connections=1) as harness:
        with harness.client.start(completion("r1")).unwrap():
            failure = harness.client.start(completion("r2")).failure()
            assert type(failure) is PoolExhaustedError
            assert failure.execution is Execution.NOT_RUN
        with harness.client.start(completion("r3")).unwrap() as stream:
            collect(stream)
        assert sorted(harness.engine.run_counts()) == ["r1", "r3"]


def test_a_version_not_loaded_is_refused_as_not_run() -> None:
    with open_engine_harness() as harness:
        request = completion(version=VersionRef("small", "2"))
        failure = harness.client.start(request).failure()
        assert type(failure) is RefusedError
        assert failure.retry_after_ms == 1000
        assert harness.engine.run_counts() == {}


@pytest.mark.parametrize(
    "fault",
    [
        Fault(kind="slow_headers", delay_ms=300),
        Fault(kind="stall", after=1),
    ],
)
def test_a_stalled_engine_hits_the_timeout_of_the_phase(fault: Fault) -> None:
    clock = ManualClock()
    timeouts = Timeouts(first_byte_ms=20, chunk_gap_ms=20)
    with open_engine_harness(timeouts=timeouts, clock=clock) as harness:
        harness.engine.inject(fault)
        with advancing_when(
            lambda: not harness.engine.pending_faults, clock, 20
        ):
            failure = _failure(harness, clock=clock)
        assert type(failure) is DeadlineExceededError
        assert failure.execution is Execution.UNKNOWN
        # The late response to the first request must not reach the second.
        request = completion("r2", clock=clock)
        with harness.client.start(request).unwrap() as stream:
            collect(stream)


def test_deadline_is_measured_by_the_injected_clock() -> None:
    clock = ManualClock(1000)
    with open_engine_harness(clock=clock) as harness:
        harness.engine.inject(Fault(kind="stall", after=1))
        request = completion(clock=clock, deadline_ms=50)
        with harness.client.start(request).unwrap() as stream:
            items = iter(stream)
            next(items)
            clock.advance(50)
            with pytest.raises(DeadlineExceededError):
                next(items)


def test_each_chunk_restarts_the_chunk_gap_timeout() -> None:
    clock = MonitoredClock()
    engine_clock = ManualClock()
    timeouts = Timeouts(first_byte_ms=10**6, chunk_gap_ms=100)
    settings = EngineSettings(warm_after=0, token_ms=1, prefill_ms=0)
    request = completion(clock=clock, deadline_ms=10**6)
    with (
        open_engine_harness(
            clock=clock,
            timeouts=timeouts,
            settings=settings,
            engine_clock=engine_clock,
        ) as harness,
        harness.client.start(request).unwrap() as stream,
    ):
        items = iter(stream)
        for _ in range(4):
            next(items)
            clock.advance_and_wait(60)
            engine_clock.advance(1)
        next(items)
        clock.advance_and_wait(100)
        engine_clock.advance(1)
        with pytest.raises(DeadlineExceededError):
            next(items)


def test_stats_count_outcomes_and_connections() -> None:
    with open_engine_harness() as harness:
        for kind in ("crossed", "crossed_events", "missing_end", "refuse"):
            harness.engine.inject(Fault(kind=kind))
            _failure(harness)
        with harness.client.start(completion("r2")).unwrap() as stream:
            assert harness.client.stats.connections_in_use == 1
            collect(stream)
        stats = harness.client.stats
    counts = {(it.kind, it.execution): it.count for it in stats.failures}
    assert counts == {
        ("MismatchedReplyError", Execution.UNKNOWN): 2,
        ("IncompleteReplyError", Execution.UNKNOWN): 1,
        ("RefusedError", Execution.NOT_RUN): 1,
    }
    assert stats.successes == 1
    assert (stats.connections_in_use, stats.connections_idle) == (0, 1)


def test_the_connect_timeout_does_not_limit_the_first_byte() -> None:
    with open_engine_harness(timeouts=Timeouts(connect_ms=300)) as harness:
        harness.engine.inject(Fault(kind="slow_headers", delay_ms=400))
        with harness.client.start(completion()).unwrap() as stream:
            collect(stream)


_JSON_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nModel-Version: small@1\r\n"
    b"Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
)


@pytest.mark.parametrize(
    ("old", "new", "error"),
    [
        (b"r1", b"r2", MismatchedReplyError),
        (b"small@1", b"small@2", MismatchedReplyError),
        (b"", b"", IncompleteReplyError),
    ],
)
def test_a_mismatched_or_unstreamed_response_fails_at_the_start(
    old: bytes, new: bytes, error: type[UpstreamError]
) -> None:
    with (
        raw_server([_JSON_RESPONSE.replace(old, new)]) as server,
        raw_client(server.address) as client,
    ):
        failure = client.start(completion()).failure()
    assert (type(failure), failure.execution) == (error, Execution.UNKNOWN)


def test_cancel_of_a_stream_delimited_by_connection_close() -> None:
    response = (
        b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nConnection: close\r\n"
        b"Content-Type: text/event-stream\r\n\r\n"
        b'id: 0\ndata: {"id": "r1", "model": "small@1", '
        b'"choices": [{"delta": {"content": "a"}}]}\n\n'
    )
    with (
        raw_server([response], hold=True) as server,
        raw_client(server.address) as client,
        client.start(completion()).unwrap() as stream,
    ):
        items = iter(stream)
        assert next(items) == Chunk(index=0, text="a", tokens=1)
        stream.cancel()
        with pytest.raises(CancelledError):
            next(items)


def test_a_request_past_its_deadline_is_not_sent() -> None:
    with open_engine_harness() as harness:
        failure = harness.client.start(completion(deadline_ms=0)).failure()
        assert type(failure) is DeadlineExceededError
        assert failure.execution is Execution.NOT_RUN
        assert harness.engine.run_counts() == {}


def test_cancel_from_another_thread_ends_the_iteration() -> None:
    with open_engine_harness() as harness:
        harness.engine.inject(Fault(kind="stall", after=1))
        with harness.client.start(completion()).unwrap() as stream:
            items = iter(stream)
            next(items)
            canceller = threading.Thread(target=stream.cancel)
            canceller.start()
            with pytest.raises(CancelledError):
                next(items)
            canceller.join()


def test_cancel_reaches_a_request_that_waits_for_its_first_byte() -> None:
    with raw_server([b""], hold=True) as server:
        cancellation = Cancellation()

        def cancel_once_sent() -> None:
            wait_until(lambda: bool(server.requests))
            cancellation.cancel()

        canceller = threading.Thread(target=cancel_once_sent)
        canceller.start()
        with raw_client(server.address) as client:
            failure = client.start(completion(), cancellation).failure()
        canceller.join()
    assert type(failure) is CancelledError
    assert failure.execution is Execution.UNKNOWN


def test_a_request_cancelled_before_sending_is_not_run() -> None:
    with open_engine_harness() as harness:
        cancellation = Cancellation()
        cancellation.cancel()
        failure = harness.client.start(completion(), cancellation).failure()
        assert type(failure) is CancelledError
        assert failure.execution is Execution.NOT_RUN
        assert harness.engine.run_counts() == {}


@pytest.mark.parametrize("after", [0, 1, 3])
def test_resume_after_truncation_returns_exactly_the_rest(after: int) -> None:
    settings = EngineSettings(warm_after=0, token_ms=2)
    with open_engine_harness(settings=settings) as harness:
        with harness.client.start(completion("whole")).unwrap() as stream:
            whole, _ = collect(stream)
        harness.engine.inject(Fault(kind="cut_stream", after=after))
        received: list[Chunk | Finish] = []
        with (
            harness.client.start(completion("r1")).unwrap() as stream,
            pytest.raises(IncompleteReplyError),
        ):
            received.extend(stream)
        resumed = harness.client.resume(
            "r1", VERSION, after_index=after - 1, deadline_ms=_deadline_ms()
        )
        with resumed.unwrap() as stream:
            rest, finish = collect(stream)
        assert [*received, *rest] == whole
        assert finish.output_tokens == sum(chunk.tokens for chunk in whole)
        assert harness.engine.run_counts()["r1"] == 1


@pytest.mark.parametrize("status", [404, 503])
def test_a_failed_resume_leaves_execution_unknown(
    status: int,
) -> None:
    with open_engine_harness() as harness:
        if status != 404:
            harness.engine.inject(Fault(kind="refuse_resume", status=status))
        resumed = harness.client.resume(
            "r1", VERSION, after_index=2, deadline_ms=_deadline_ms()
        )
        failure = resumed.failure()
    assert isinstance(failure, ResumeError)
    assert isinstance(failure, ResponseGoneError) == (status == 404)
    assert failure.execution is Execution.UNKNOWN
    unreachable = harness.client.resume(
        "r1", VERSION, after_index=2, deadline_ms=_deadline_ms()
    ).failure()
    assert isinstance(unreachable, ResumeError)
    assert type(unreachable.cause) is ConnectError
    assert unreachable.execution is Execution.UNKNOWN


def test_a_response_of_another_version_is_not_resumed() -> None:
    with open_engine_harness() as harness:
        with harness.client.start(completion()).unwrap() as stream:
            collect(stream)
        resumed = harness.client.resume(
            "r1",
            VersionRef("small", "2"),
            after_index=-1,
            deadline_ms=_deadline_ms(),
        )
        failure = resumed.failure()
    assert isinstance(failure, ResumeError)
    assert type(failure.cause) is MismatchedReplyError


def _first_report_of_restarted(harness: EngineHarness) -> LoadReport:
    """Polls until a fetch succeeds; the restart closes the old connection."""
    reports: list[LoadReport] = []

    def poll() -> bool:
        report = harness.client.load_report(deadline_ms=_deadline_ms())
        if isinstance(report, Success):
            reports.append(report.unwrap())
        return bool(reports)

    wait_until(poll)
    return reports[0]


def test_a_request_for_an_earlier_incarnation_is_not_run() -> None:
    settings = EngineSettings(cold_capacity=1, warm_after=1, token_ms=0)
    with open_engine_harness(settings=settings) as harness:
        before = harness.client.load_report(deadline_ms=_deadline_ms()).unwrap()
        request = dataclasses.replace(
            completion("r1"), upstream_incarnation=before.incarnation
        )
        with harness.client.start(request).unwrap() as stream:
            collect(stream)
        harness.engine.restart()
        again = dataclasses.replace(request, request_id="r2")
        wait_until(lambda: _refusal(harness, again) is not None)
        assert _refusal(harness, again) is Execution.NOT_RUN
        ids = [run.request_id for run in harness.engine.state.runs]
        assert ids == ["r1"]


def _refusal(
    harness: EngineHarness, request: CompletionRequest
) -> Execution | None:
    started = harness.client.start(request)
    assert not isinstance(started, Success)
    error = started.failure()
    return error.execution if isinstance(error, RefusedError) else None


def test_an_overloaded_cold_engine_restarts_and_drops_all_requests() -> None:
    settings = EngineSettings(cold_capacity=2, warm_after=1, token_ms=5)
    with open_engine_harness(settings=settings) as harness:
        before = harness.client.load_report(deadline_ms=_deadline_ms()).unwrap()
        first = harness.client.start(completion("r1")).unwrap()
        second = harness.client.start(completion("r2")).unwrap()
        with first, second:
            third = harness.client.start(completion("r3")).failure()
            assert third.execution is Execution.UNKNOWN
            for stream in (first, second):
                with pytest.raises(IncompleteReplyError):
                    collect(stream)
        after = _first_report_of_restarted(harness)
        assert not after.warm
        assert after.incarnation != before.incarnation
        gone = harness.client.resume(
            "r1", VERSION, after_index=-1, deadline_ms=_deadline_ms()
        )
        assert type(gone.failure()) is ResponseGoneError


@pytest.mark.parametrize("checks", [True, False])
def test_orders_with_an_old_fencing_number(checks: bool) -> None:
    settings = EngineSettings(checks_fencing=checks)
    large = VersionRef("large", "1")

    def order(kind: OrderKind, number: int) -> Order:
        return Order(
            request_id=f"o{number}",
            kind=kind,
            fencing_number=number,
            version=large,
        )

    with open_engine_harness(settings=settings) as harness:
        loaded = harness.client.send_order(
            order(OrderKind.LOAD, 7), deadline_ms=_deadline_ms()
        )
        assert loaded.unwrap().versions == {VERSION, large}
        late = harness.client.send_order(
            order(OrderKind.UNLOAD, 6), deadline_ms=_deadline_ms()
        )
        if checks:
            assert type(late.failure()) is StaleFencingError
        else:
            assert late.unwrap().versions == {VERSION}


def test_cache_events_report_a_gap() -> None:
    with open_engine_harness() as harness:
        harness.engine.settings.cache_event_loss = 2
        for number in range(3):
            request = completion(f"r{number}", prompt=f"prompt {number}")
            with harness.client.start(request).unwrap() as stream:
                collect(stream)
        events = harness.client.cache_events(
            after=0, deadline_ms=_deadline_ms()
        )
        assert [event.sequence for event in events.unwrap().events] == [1, 3]
        assert events.unwrap().gap
