"""Tests of the request path's decisions, under their load patterns."""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Sequence

import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.fleet import (
    Document,
    FleetView,
    ItemBatch,
    OperationKind,
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
    Route,
    UpstreamEntry,
    UpstreamState,
    Workspace,
)
from trefoilpitch.fleet.tests.fakes import (
    InMemoryCodec,
    configuration,
    route,
    upstream,
)
from trefoilpitch.gateway import CallerRequest, HttpRequest, PrefixPart
from trefoilpitch.gateway._admission import Admitted, Rejection, admit
from trefoilpitch.gateway._attempts import (
    Attempts,
    refusal_delay_ms,
    response_timeout_ms,
    stop_reason,
)
from trefoilpitch.gateway._cold_share import (
    ColdRequestCounter,
    share_per_window,
)
from trefoilpitch.gateway._dispatcher import Dispatcher, NoUpstream
from trefoilpitch.gateway._health import (
    ExpectedLatencies,
    LoadReport,
    UpstreamHealth,
)
from trefoilpitch.gateway._model_tiers import (
    ModelSelector,
    PartialResponse,
    ResponseSize,
)
from trefoilpitch.gateway._paces import (
    MeasuredPace,
    PaceComparison,
    compare_paces,
)
from trefoilpitch.gateway._refusals import RETRY_SOON_MS, retry_after_ms
from trefoilpitch.gateway._response_speed import ResponseSpeed
from trefoilpitch.gateway._rollouts import (
    CANARY_PERCENT,
    ResponseQuality,
    VersionEvidence,
    is_regression,
    next_step,
    runs_on_target,
)
from trefoilpitch.gateway._upstream_digest import upstream_digest
from trefoilpitch.retries import Execution, FailureKind, StopReason


def _request(request_id: str = "id", **fields: object) -> CallerRequest:
    values: dict[str, object] = {
        "http": HttpRequest(
            method=b"GET", target=b"/a/x", headers=(), body=b"", arrived_ms=0
        ),
        "request_id": request_id,
        "host": "host.example",
        "path": "/a/x",
        "api_key": "key",
        "wait_ms": 1_000,
    }
    return CallerRequest(**{**values, **fields})  # type: ignore[arg-type]


def _by_digest(counts: dict[str, int]) -> dict[int, int]:
    return {upstream_digest(name): count for name, count in counts.items()}


class _Fleet:
    def __init__(self, members: int = 1) -> None:
        self.codec = InMemoryCodec()
        self.clock = ManualClock(10_000)
        self.view = FleetView(self.codec, lambda change: None)
        self.revision = 0
        self.peers_in_flight: dict[str, int] = {}
        self.peers_unreachable: dict[str, int] = {}
        names = {f"node-{number}" for number in range(members)}
        self.dispatchers = [
            Dispatcher(
                self.view,
                self.clock,
                random.Random(number),
                own_name=name,
                failure_domain="domain-a",
                members=lambda: names,
                peers_in_flight=lambda: _by_digest(self.peers_in_flight),
                peers_unreachable=lambda: _by_digest(self.peers_unreachable),
            )
            for number, name in enumerate(sorted(names))
        ]
        self.put("config", configuration())

    def put(self, key: str, document: Document) -> int:
        self.revision += 1
        item = self.codec.item(key, document, self.revision)
        batch = ItemBatch(items=(item,), revision=self.revision)
        self.view.apply(batch, self.clock.now_ms())
        return self.revision

    def choose(
        self, request: CallerRequest | None = None, node: int = 0
    ) -> UpstreamEntry | NoUpstream:
        return self.dispatchers[node].choose(
            request or _request(), "s", model=None, excluded=()
        )

    def chosen(
        self, request: CallerRequest | None = None, node: int = 0
    ) -> str | None:
        found = self.choose(request, node)
        return None if isinstance(found, NoUpstream) else found.upstream_id


def test_unknown_key_or_route_gets_503_if_configuration_may_be_stale() -> None:
    known = configuration()
    unknown_key = _request(api_key="new")
    assert admit(unknown_key, known, current=True) is Rejection.UNKNOWN_KEY
    late = admit(unknown_key, known, current=False)
    assert late is Rejection.UNKNOWN_CONFIGURATION
    unknown_route = _request(path="/new/x")
    assert admit(unknown_route, known, current=True) is Rejection.UNKNOWN_ROUTE
    late = admit(unknown_route, known, current=False)
    assert late is Rejection.UNKNOWN_CONFIGURATION
    none = admit(_request(), None, current=True)
    assert none is Rejection.UNKNOWN_CONFIGURATION


def test_workspace_priority_overrides_the_routes() -> None:
    known = configuration(
        workspaces_by_key={"key": Workspace(name="w", priority=0)}
    )
    admitted = admit(_request(), known, current=True)
    assert isinstance(admitted, Admitted)
    assert (admitted.workspace, admitted.priority) == ("w", 0)


def test_public_route_needs_no_key() -> None:
    known = configuration(routes=(route(public=True),))
    admitted = admit(_request(api_key=None), known, current=True)
    assert isinstance(admitted, Admitted)
    assert admitted.workspace is None


def test_caller_cannot_name_the_model_of_a_route_with_tiers() -> None:
    known = configuration(routes=(route(model_tiers=("m0", "m2")),))
    named = _request(model="m2")
    assert admit(named, known, current=True) is Rejection.MODEL_NOT_ALLOWED
    free = admit(_request(any_model=True), known, current=True)
    assert isinstance(free, Admitted)


@pytest.mark.parametrize("members", [1, 2, 6, 9, 40, 79])
@pytest.mark.parametrize("rate", [1.0, 5.0, 11.0, 12.0, 120.0])
def test_shares_of_a_cold_upstream_sum_to_its_rate(
    members: int, rate: float
) -> None:
    names = [f"node-{number}" for number in range(members)]
    shares = [share_per_window("u", rate, name, names) for name in names]
    assert sum(shares) == rate
    assert max(shares) - min(shares) <= 1


def test_cold_upstreams_stay_within_their_rate_over_all_nodes() -> None:
    """All upstreams of a domain restart cold while every node is busy."""
    fleet = _Fleet(members=6)
    for number in range(4):
        fleet.put(f"u{number}", upstream(f"u{number}", cold_left_ms=5_000))
    arrivals: list[tuple[int, str]] = []
    for _ in range(40):
        fleet.clock.advance(50)
        for node in range(6):
            for _ in range(5):
                chosen = fleet.chosen(node=node)
                if chosen:
                    arrivals.append((fleet.clock.now_ms(), chosen))
    for end, name in arrivals:
        window = [
            at for at, u in arrivals if u == name and end - 1_000 < at <= end
        ]
        assert len(window) <= 12
    assert len(arrivals) > 40


def test_cold_requests_are_counted_for_one_second() -> None:
    counter = ColdRequestCounter()
    counter.record("u", 0)
    assert counter.used("u", 999) == 1
    assert counter.used("u", 1_000) == 0


def test_draining_and_evacuated_upstreams_get_no_requests() -> None:
    fleet = _Fleet()
    fleet.put("u", upstream("u", state=UpstreamState.DRAINING))
    assert fleet.chosen() is None
    fleet.put("x", upstream("x", failure_domain="domain-b"))
    assert fleet.chosen() == "x"
    fleet.view.evacuated.add("domain-b")
    assert fleet.chosen() is None


def test_request_waits_only_for_a_transient_shortage() -> None:
    """No wait if the service has no upstream; a wait if all are saturated."""
    fleet = _Fleet()
    missing = fleet.choose()
    assert isinstance(missing, NoUpstream)
    assert missing.available_in_ms is None
    fleet.put("u", upstream("u", slots=1))
    fleet.peers_in_flight = {"u": 50}
    busy = fleet.choose()
    assert isinstance(busy, NoUpstream)
    assert busy.available_in_ms == 0


def test_unreachable_upstream_is_ejected_and_then_probed() -> None:
    fleet = _Fleet()
    fleet.put("u", upstream("u"))
    health = fleet.dispatchers[0].health("u")
    health.record_failure(fleet.clock.now_ms(), unreachable=True)
    assert fleet.chosen() is None
    fleet.clock.advance(1_000)
    assert fleet.chosen() == "u"
    health.in_flight = 1
    assert fleet.chosen() is None


@pytest.mark.parametrize(
    ("obstacle", "expected"),
    [
        ("unreachable", "1 unreachable; 1 of 1 not reported"),
        ("unreachable_for_all", "1 unreachable; 0 of 1 not reported"),
        ("failing", "1 failing; 1 of 1 not reported"),
        ("paused", "1 paused; 1 of 1 not reported"),
        ("saturated", "1 saturated; 1 of 1 not reported"),
    ],
)
def test_refusal_names_the_obstacles(obstacle: str, expected: str) -> None:
    """A lost link, a failing upstream and an overload need other measures."""
    fleet = _Fleet(members=3)
    fleet.put("u", upstream("u", slots=1))
    now_ms = fleet.clock.now_ms()
    dispatcher = fleet.dispatchers[0]
    if obstacle == "paused":
        dispatcher.record_notices(upstream("u"), leaving=False, pause_ms=500)
    elif obstacle == "saturated":
        fleet.peers_in_flight = {"u": 50}
    else:
        unreachable = obstacle != "failing"
        for _ in range(3):
            dispatcher.health("u").record_failure(
                now_ms, unreachable=unreachable
            )
    if obstacle == "unreachable_for_all":
        fleet.peers_unreachable = {"u": 2}
    found = fleet.choose()
    assert isinstance(found, NoUpstream)
    assert expected in found.reason


def test_one_silence_ejects_an_upstream_once() -> None:
    """All streams of an upstream stall at the same time, within a second."""
    health = UpstreamHealth()
    for number in range(20):
        health.record_failure(10_000 + 10 * number, unreachable=False)
    assert health.ejected_until_ms == 11_020
    # A request that was sent after the ejection shows that it lasts.
    health.record_failure(12_500, unreachable=False)
    assert health.ejected_until_ms == 14_500


def test_upstream_that_peers_cannot_reach_is_the_last_resort() -> None:
    """A crashed upstream looks idle until this daemon has tried it."""
    fleet = _Fleet()
    for name in ("crashed", "a", "b"):
        fleet.put(name, upstream(name))
    fleet.peers_in_flight = {"a": 20, "b": 20}
    assert "crashed" in {fleet.chosen() for _ in range(50)}
    fleet.peers_unreachable = {"crashed": 2}
    assert {fleet.chosen() for _ in range(50)} == {"a", "b"}
    fleet.peers_unreachable = {"crashed": 2, "a": 3, "b": 2}
    assert "crashed" in {fleet.chosen() for _ in range(50)}


@pytest.mark.parametrize(
    ("failures", "affordable", "refused", "in_progress"),
    [
        (["answer_cut"], True, None, None),
        (["answer_cut"], False, StopReason.BUDGET, None),
        (["refused_not_run"] * 5, True, StopReason.REFUSALS, None),
        (["connect_refused"] * 16, True, StopReason.REFUSALS, None),
        (["answer_cut"] * 2, True, StopReason.ATTEMPTS, StopReason.ATTEMPTS),
    ],
)
def test_response_in_progress_is_not_ended_for_want_of_budget_or_upstreams(
    failures: list[str],
    affordable: bool,
    refused: StopReason | None,
    in_progress: StopReason | None,
) -> None:
    attempts = Attempts(failures=tuple(FailureKind(kind) for kind in failures))
    for started, expected in ((False, refused), (True, in_progress)):
        reason = stop_reason(
            route(max_attempts=2),
            attempts,
            affordable=affordable,
            started=started,
        )
        assert reason is expected


def test_refused_response_in_progress_is_offered_less_and_less_often() -> None:
    delays = [
        refusal_delay_ms(
            Attempts(failures=(FailureKind.REFUSED_NOT_RUN,) * count)
        )
        for count in range(8)
    ]
    assert delays == [0, 50, 100, 200, 400, 800, 1_000, 1_000]
    assert refusal_delay_ms(Attempts(failures=(FailureKind.NOT_SENT,))) == 0


def test_own_unreachable_upstreams_are_published_while_ejected() -> None:
    fleet = _Fleet()
    fleet.put("u", upstream("u"))
    health = fleet.dispatchers[0].health("u")
    health.record_failure(fleet.clock.now_ms(), unreachable=True)
    assert fleet.dispatchers[0].own_unreachable() == (upstream_digest("u"),)
    fleet.clock.advance(1_000)
    assert fleet.dispatchers[0].own_unreachable() == ()


def test_failing_upstreams_get_few_requests() -> None:
    """Half of the upstreams fail 40% of requests but pass health checks."""
    fleet = _Fleet()
    for number in range(4):
        fleet.put(f"u{number}", upstream(f"u{number}"))
    counts: Counter[str | None] = Counter()
    rng = random.Random(1)
    for _ in range(400):
        fleet.clock.advance(20)
        chosen = fleet.chosen()
        counts[chosen] += 1
        if chosen is None:
            continue
        health = fleet.dispatchers[0].health(chosen)
        if chosen in ("u0", "u1") and rng.random() < 0.4:
            health.record_failure(fleet.clock.now_ms(), unreachable=False)
        else:
            health.record_success(1.0, fleet.clock.now_ms())
    assert counts["u0"] + counts["u1"] < 0.2 * counts.total()


def test_slow_upstream_gets_fewer_requests() -> None:
    fleet = _Fleet()
    fleet.put("slow", upstream("slow"))
    fleet.put("usual", upstream("usual"))
    for _ in range(30):
        health = fleet.dispatchers[0].health("slow")
        health.record_success(8.0, fleet.clock.now_ms())
    assert {fleet.chosen() for _ in range(50)} == {"usual"}


def test_upstream_that_was_slow_at_its_start_is_used_again() -> None:
    """Others are crowded; without requests its measured latency is outdated."""
    fleet = _Fleet()
    for name in ("started", "a", "b"):
        fleet.put(name, upstream(name))
    health = fleet.dispatchers[0].health("started")
    for _ in range(10):
        health.record_success(10.0, fleet.clock.now_ms())
    fleet.peers_in_flight = {"a": 20, "b": 20}
    assert "started" not in {fleet.chosen() for _ in range(50)}
    fleet.clock.advance(10_000)
    assert "started" in {fleet.chosen() for _ in range(50)}


def test_hot_prefix_does_not_overload_its_home() -> None:
    """All requests share one prompt prefix."""
    fleet = _Fleet()
    for number in range(6):
        fleet.put(f"u{number}", upstream(f"u{number}"))
    prefix = (
        PrefixPart(part_id="shared", tokens=5_000),
        PrefixPart(part_id="own", tokens=10),
    )
    counts: Counter[str] = Counter()
    for number in range(120):
        request = _request(f"id-{number}", prefix=prefix, model="m")
        chosen = fleet.chosen(request)
        assert chosen is not None
        counts[chosen] += 1
        fleet.dispatchers[0].health(chosen).in_flight += 1
    assert len(counts) == 6
    assert max(counts.values()) <= 2 * 120 / 6


def test_prefix_has_the_same_home_on_every_node() -> None:
    fleet = _Fleet(members=6)
    for number in range(6):
        fleet.put(f"u{number}", upstream(f"u{number}"))
    for key in range(20):
        prefix = (
            PrefixPart(part_id=f"shared-{key}", tokens=5_000),
            PrefixPart(part_id="own", tokens=10),
        )
        request = _request(prefix=prefix, model="m")
        homes = {fleet.chosen(request, node) for node in range(6)}
        assert len(homes) == 1


def test_outdated_load_report_is_corrected_by_own_requests() -> None:
    health = UpstreamHealth()
    health.in_flight = 2
    report = LoadReport(running=10, waiting=1, slots=64)
    health.record_report(report, 1_000)
    health.in_flight = 5
    assert health.load(1_300) == 14
    assert health.load(9_000) == 5
    assert health.load(1_300, peers_in_flight=4) == 14
    assert health.load(1_300, peers_in_flight=20) == 25
    assert health.load(9_000, peers_in_flight=4) == 9


def test_in_flight_requests_of_other_daemons_count() -> None:
    """Too few upstreams: own requests alone would understate their load."""
    fleet = _Fleet()
    fleet.put("busy", upstream("busy"))
    fleet.put("idle", upstream("idle"))
    fleet.peers_in_flight = {"busy": 12}
    assert {fleet.chosen() for _ in range(50)} == {"idle"}


def test_expected_latency_follows_the_median() -> None:
    latencies = ExpectedLatencies()
    assert latencies.record("w", 100.0) is None
    for _ in range(200):
        latencies.record("w", 100.0)
        latencies.record("w", 100.0)
        latencies.record("w", 2_000.0)
    assert 80 < latencies.expected_ms("w", 0.0) < 130
    assert latencies.expected_ms("unknown", 7.0) == 7.0


@pytest.mark.parametrize(
    ("expected_ms", "latency_ms", "expected"),
    [(1, 5, False), (1, 40, True), (40, 100, False), (40, 320, True)],
)
def test_small_absolute_differences_are_not_slow(
    expected_ms: float, latency_ms: float, expected: bool
) -> None:
    latencies = ExpectedLatencies()
    latencies.record("w", expected_ms)
    assert latencies.is_slow("w", latency_ms) is expected
    assert not latencies.is_slow("unknown", latency_ms)


@pytest.mark.parametrize(
    ("expected_ms", "pace_ms", "expected"),
    [(4, 12, False), (32, 90, False), (32, 96, True), (12, 36, True)],
)
def test_pace_is_slow_from_three_times_the_expected_one(
    expected_ms: float, pace_ms: float, expected: bool
) -> None:
    latencies = ExpectedLatencies()
    latencies.record("w", expected_ms)
    assert latencies.is_slow_pace("w", pace_ms) is expected
    assert not latencies.is_slow_pace("unknown", pace_ms)


@pytest.mark.parametrize(
    ("events_ms", "completed", "expected"),
    [
        # No first part.
        ([], False, None),
        ([], True, None),
        # A first part in time, and the end before the pace is known.
        ([100], True, ResponseQuality.GOOD),
        ([100], False, None),
        # A late first part, whatever follows.
        ([400, *range(410, 490, 10)], True, ResponseQuality.SLOW),
        # The pace from the first part on.
        (list(range(100, 350, 30)), False, ResponseQuality.GOOD),
        (list(range(100, 910, 100)), False, ResponseQuality.SLOW),
    ],
)
def test_quality_of_a_response_is_recorded_once(
    events_ms: list[int], completed: bool, expected: ResponseQuality | None
) -> None:
    recorded: list[ResponseQuality] = []
    speed = _speed(recorded)
    for number, now_ms in enumerate(events_ms):
        if number == 0:
            speed.first_part_arrived(now_ms)
        else:
            speed.events_arrived(1, now_ms)
    if completed:
        speed.completed()
    assert recorded == ([] if expected is None else [expected])


@pytest.mark.parametrize(
    ("events_ms", "expected"),
    [
        # The first part and three more events say too little.
        (range(100, 180, 20), []),
        # A stream that ends, however it does, before the pace is known.
        (range(100, 200, 20), [20.0]),
        # Only the first events count.
        ([*range(100, 280, 20), 900, 1_900], [20.0]),
    ],
)
def test_pace_of_a_stream_is_measured_once(
    events_ms: Sequence[int], expected: list[float]
) -> None:
    paces: list[MeasuredPace] = []
    speed = _speed([], paces)
    speed.first_part_arrived(events_ms[0])
    for now_ms in events_ms[1:]:
        speed.events_arrived(1, now_ms)
    speed.ended()
    assert [pace.pace_ms for pace in paces] == expected


def test_pace_of_a_cold_upstream_is_no_evidence() -> None:
    """An upstream that has just started is slow for some seconds."""
    fleet = _Fleet()
    fleet.put("old", upstream("old", version="v1"))
    fleet.put("new", upstream("new", version="v2", cold_left_ms=3_000))
    _rollout(fleet)
    dispatcher = fleet.dispatchers[0]
    fast = MeasuredPace(key="k", pace_ms=20, load=2)
    slow = MeasuredPace(key="k", pace_ms=80, load=2)

    def compare(started_ms: int) -> PaceComparison:
        for _ in range(20):
            old, new = (
                fleet.view.upstreams[name].entry for name in ("old", "new")
            )
            dispatcher.record_pace(old, started_ms, fast)
            dispatcher.record_pace(new, started_ms, slow)
        return compare_paces(*dispatcher.own_paces("s", "v2"))

    started_ms = fleet.clock.now_ms()
    assert compare(started_ms) == PaceComparison()
    assert compare(started_ms + 3_000).is_slower


def test_response_is_slow_as_soon_as_its_first_part_is_overdue() -> None:
    recorded: list[ResponseQuality] = []
    speed = _speed(recorded)
    assert speed.due_ms == 300
    speed.check_wait()
    assert recorded == [ResponseQuality.SLOW]
    speed.first_part_arrived(900)
    speed.completed()
    assert recorded == [ResponseQuality.SLOW]


def _speed(
    recorded: list[ResponseQuality], paces: list[MeasuredPace] | None = None
) -> ResponseSpeed:
    latencies = ExpectedLatencies()
    latencies.record("first", 100.0)
    latencies.record("pace", 30.0)
    return ResponseSpeed(
        latencies,
        latency_key="first",
        pace_key="pace",
        started_ms=0,
        record=recorded.append,
        record_pace=([] if paces is None else paces).append,
        load=lambda: 1,
    )


_ONCE = route(kind=OperationKind.NON_IDEMPOTENT, max_attempts=3)
_REPEATABLE = route(max_attempts=2)
_STREAM = route(kind=OperationKind.STREAM, max_attempts=3)
_RESUMABLE = route(kind=OperationKind.STREAM, max_attempts=3, resumable=True)


def _may_retry(route: Route, attempts: Attempts, *, affordable: bool) -> bool:
    reason = stop_reason(route, attempts, affordable=affordable, started=False)
    return reason is None


@pytest.mark.parametrize(
    ("tested_route", "failures", "expected"),
    [
        (_ONCE, [FailureKind.CONNECT_REFUSED], True),
        (_ONCE, [FailureKind.REFUSED_NOT_RUN], True),
        (_ONCE, [FailureKind.CONNECTION_LOST], False),
        (_ONCE, [FailureKind.RESPONSE_TIMEOUT], False),
        (_ONCE, [FailureKind.SERVER_ERROR], False),
        (_STREAM, [FailureKind.RESPONSE_TRUNCATED], False),
        (_RESUMABLE, [FailureKind.RESPONSE_TRUNCATED], True),
        (_RESUMABLE, [FailureKind.RESPONSE_TRUNCATED] * 3, False),
        (_REPEATABLE, [FailureKind.SERVER_ERROR], True),
        (_REPEATABLE, [FailureKind.SERVER_ERROR] * 2, False),
        (_REPEATABLE, [FailureKind.CONNECT_REFUSED] * 4, True),
        (_REPEATABLE, [FailureKind.CONNECT_TIMEOUT] * 5, False),
    ],
)
def test_which_failures_are_retried(
    tested_route: Route, failures: list[FailureKind], expected: bool
) -> None:
    attempts = Attempts(failures=tuple(failures))
    found = _may_retry(tested_route, attempts, affordable=True)
    assert found is expected
    assert not _may_retry(tested_route, attempts, affordable=False)


@pytest.mark.parametrize(
    ("failures", "expected"),
    [
        ((FailureKind.REFUSED_NOT_RUN,) * 5, False),
        # A quarter of the upstreams has crashed.
        ((FailureKind.CONNECT_REFUSED,) * 9, True),
        ((FailureKind.MISDIRECTED,) * 9, True),
        ((FailureKind.CONNECT_REFUSED,) * 16, False),
        ((FailureKind.CONNECT_TIMEOUT,) * 5, False),
    ],
)
def test_attempts_at_upstreams_that_are_gone_are_cheap(
    failures: tuple[FailureKind, ...], expected: bool
) -> None:
    attempts = Attempts(failures=failures)
    assert _may_retry(route(), attempts, affordable=True) is expected


@pytest.mark.parametrize(
    ("tested_route", "kind", "expected"),
    [
        (_RESUMABLE, FailureKind.CONNECTION_LOST, None),
        (_RESUMABLE, FailureKind.RESPONSE_TRUNCATED, None),
        (_RESUMABLE, FailureKind.RESPONSE_TIMEOUT, StopReason.ATTEMPTS),
        (_RESUMABLE, FailureKind.MALFORMED_RESPONSE, StopReason.ATTEMPTS),
        (_STREAM, FailureKind.RESPONSE_TRUNCATED, StopReason.UNSAFE),
    ],
)
def test_only_what_a_leaving_upstream_cuts_off_is_not_counted(
    tested_route: Route, kind: FailureKind, expected: StopReason | None
) -> None:
    attempts = Attempts()
    for _ in range(4):
        attempts = attempts.with_failure(kind, leaving=True)
    reason = stop_reason(tested_route, attempts, affordable=True, started=True)
    assert reason is expected


def test_refusal_of_a_leaving_upstream_is_not_left_out_twice() -> None:
    attempts = (
        Attempts()
        .with_failure(FailureKind.REFUSED_NOT_RUN, leaving=True)
        .with_failure(FailureKind.RESPONSE_TRUNCATED)
    )
    assert attempts.runs == 1


def test_replaced_response_counts_as_a_run() -> None:
    attempts = Attempts().with_replaced_response()
    assert attempts.execution is Execution.RAN
    assert attempts.runs == 1


def test_response_timeout_grows_with_expected_latency() -> None:
    """With too few upstreams, retries of slow requests only add load."""
    calm = response_timeout_ms(
        _RESUMABLE, Attempts(), 5_000, expected_ms=20.0, affordable=True
    )
    saturated = response_timeout_ms(
        _RESUMABLE, Attempts(), 5_000, expected_ms=400.0, affordable=True
    )
    assert (calm, saturated) == (120.0, 1_600.0)


def test_last_attempt_gets_all_the_remaining_time() -> None:
    last = Attempts(failures=(FailureKind.RESPONSE_TIMEOUT,) * 2)
    timeout_ms = response_timeout_ms(
        _RESUMABLE, last, 900, expected_ms=1.0, affordable=True
    )
    assert timeout_ms == 900
    once = response_timeout_ms(_ONCE, Attempts(), 900, 1.0, affordable=True)
    assert once == 900


_COSTS = (0.017, 0.13, 0.26)


@pytest.mark.parametrize(
    ("confidence", "prompt", "output", "expected"),
    [
        (100, 800, 300, None),
        (20, 800, 300, 2),
        # Escalation that costs a fifth of the value needs lower confidence.
        (70, 800, 300, 2),
        (70, 12_000, 300, None),
        (20, 12_000, 300, 2),
        (None, 800, 300, None),
    ],
)
def test_request_is_escalated_where_the_gain_exceeds_the_cost(
    confidence: int | None, prompt: int, output: int, expected: int | None
) -> None:
    response = PartialResponse(
        tier=0, confidence=confidence, can_meet_objective=True
    )
    size = ResponseSize(prompt_tokens=prompt, output_tokens=output)
    assert ModelSelector().next_tier(response, size, _COSTS) == expected


def test_fewer_requests_are_escalated_when_late_or_saturated() -> None:
    size = ResponseSize(prompt_tokens=2_400, output_tokens=20)
    calm = PartialResponse(tier=0, confidence=50, can_meet_objective=True)
    late = PartialResponse(tier=0, confidence=50, can_meet_objective=False)
    saturated = PartialResponse(
        tier=0, confidence=50, can_meet_objective=True, mean_saturation=8.0
    )
    found = [
        ModelSelector().next_tier(response, size, _COSTS)
        for response in (calm, late, saturated)
    ]
    assert found == [2, None, None]


def test_benefit_of_the_largest_model_is_learned() -> None:
    choice = ModelSelector()
    response = PartialResponse(tier=0, confidence=50, can_meet_objective=True)
    size = ResponseSize(prompt_tokens=800, output_tokens=300)
    assert choice.next_tier(response, size, _COSTS) == 2
    for _ in range(300):
        choice.record_escalation(50, 40)
    assert choice.next_tier(response, size, _COSTS) is None
    # Other confidence classes of the first response are unaffected.
    other = PartialResponse(tier=0, confidence=10, can_meet_objective=True)
    assert choice.next_tier(other, size, _COSTS) == 2


def _rollout(fleet: _Fleet, duration_ms: int = 10_000) -> int:
    order = RolloutOrder(service="s", target="v2", duration_ms=duration_ms)
    return fleet.put("order", order)


def _record(
    fleet: _Fleet, order: int, phase: RolloutPhase, percent: int = 0
) -> None:
    record = RolloutRecord(
        service="s",
        target="v2",
        order_revision=order,
        phase=phase,
        percent=percent,
    )
    fleet.put("record", record)


def _versions(fleet: _Fleet) -> Counter[str | None]:
    counts: Counter[str | None] = Counter()
    for number in range(1_000):
        found = fleet.choose(_request(f"id-{number}"))
        counts[None if isinstance(found, NoUpstream) else found.version] += 1
    return counts


def test_rollout_phase_determines_the_versions() -> None:
    fleet = _Fleet()
    fleet.put("old", upstream("old", version="v1"))
    fleet.put("new", upstream("new", version="v2"))
    order = _rollout(fleet)
    assert set(_versions(fleet)) == {"v1"}
    _record(fleet, order, RolloutPhase.CANARY)
    canary = _versions(fleet)["v2"]
    assert 0.6 * CANARY_PERCENT < canary / 10 < 1.4 * CANARY_PERCENT
    _record(fleet, order, RolloutPhase.SHIFT, 50)
    assert 400 < _versions(fleet)["v2"] < 600
    _record(fleet, order, RolloutPhase.COMPLETED, 100)
    assert set(_versions(fleet)) == {"v2"}


def test_requests_without_a_session_do_not_wait_for_an_ejected_canary() -> None:
    fleet = _Fleet()
    fleet.put("old", upstream("old", version="v1"))
    fleet.put("new", upstream("new", version="v2"))
    _record(fleet, _rollout(fleet), RolloutPhase.CANARY)
    health = fleet.dispatchers[0].health("new")
    health.record_failure(fleet.clock.now_ms(), unreachable=True)
    assert _versions(fleet) == {"v1": 1_000}


def test_rolled_back_version_gets_none_even_without_the_order() -> None:
    fleet = _Fleet()
    fleet.put("new", upstream("new", version="v2"))
    order = _rollout(fleet)
    _record(fleet, order, RolloutPhase.ROLLED_BACK)
    assert set(_versions(fleet)) == {None}
    fleet.view.rollouts.clear()
    assert set(_versions(fleet)) == {None}


def test_new_order_for_a_rolled_back_version_starts_over() -> None:
    fleet = _Fleet()
    fleet.put("old", upstream("old", version="v1"))
    fleet.put("new", upstream("new", version="v2"))
    order = _rollout(fleet)
    _record(fleet, order, RolloutPhase.ROLLED_BACK)
    again = _rollout(fleet)
    _record(fleet, again, RolloutPhase.SHIFT, 100)
    assert set(_versions(fleet)) == {"v2"}


def test_own_evidence_stops_a_bad_version_before_the_rollback() -> None:
    fleet = _Fleet()
    fleet.put("old", upstream("old", version="v1"))
    fleet.put("new", upstream("new", version="v2"))
    _record(fleet, _rollout(fleet), RolloutPhase.SHIFT, 100)
    for _ in range(4):
        entry = upstream("new", version="v2")
        fleet.dispatchers[0].record_evidence(entry, ResponseQuality.FAILED)
    assert set(_versions(fleet)) == {"v1"}


def test_stopped_rollout_stays_stopped_without_evidence() -> None:
    """The daemons with the evidence were killed, and the store is away."""
    fleet = _Fleet()
    fleet.put("old", upstream("old", version="v1"))
    fleet.put("new", upstream("new", version="v2"))
    order = _rollout(fleet)
    _record(fleet, order, RolloutPhase.SHIFT, 100)
    assert fleet.dispatchers[0].stop_rollout("s", order)
    assert not fleet.dispatchers[0].stop_rollout("s", order)
    assert set(_versions(fleet)) == {"v1"}
    step = next_step(
        fleet.view.rollouts["s"],
        fleet.view.records["s"],
        {},
        0,
        fleet.clock.now_ms(),
        stopped=fleet.dispatchers[0].is_stopped("s", order),
    )
    assert step is not None
    assert step.phase is RolloutPhase.ROLLED_BACK
    again = _rollout(fleet)
    assert not fleet.dispatchers[0].is_stopped("s", again)


def test_evidence_of_an_earlier_order_does_not_count() -> None:
    """The same version is rolled out again after its fault was fixed."""
    fleet = _Fleet()
    fleet.put("old", upstream("old", version="v1"))
    fleet.put("new", upstream("new", version="v2"))
    _record(fleet, _rollout(fleet), RolloutPhase.SHIFT, 100)
    for _ in range(4):
        entry = upstream("new", version="v2")
        fleet.dispatchers[0].record_evidence(entry, ResponseQuality.FAILED)
    assert fleet.dispatchers[0].own_evidence("s")["v2"].failed == 4
    _record(fleet, _rollout(fleet), RolloutPhase.SHIFT, 100)
    assert fleet.dispatchers[0].own_evidence("s") == {}
    assert set(_versions(fleet)) == {"v2"}


def test_completed_version_is_kept_whatever_its_evidence() -> None:
    """The old upstreams no longer exist, so a rollback is impossible."""
    fleet = _Fleet()
    fleet.put("new", upstream("new", version="v2"))
    _record(fleet, _rollout(fleet), RolloutPhase.COMPLETED, 100)
    for _ in range(20):
        entry = upstream("new", version="v2")
        fleet.dispatchers[0].record_evidence(entry, ResponseQuality.FAILED)
    assert set(_versions(fleet)) == {"v2"}


@pytest.mark.parametrize(
    ("target", "others", "expected"),
    [
        (VersionEvidence(good=3, failed=3), VersionEvidence(good=90), False),
        (VersionEvidence(good=10, failed=4), VersionEvidence(good=90), True),
        (VersionEvidence(good=60, failed=4), VersionEvidence(good=90), False),
        (
            VersionEvidence(good=80, failed=20),
            VersionEvidence(good=80, failed=20),
            False,
        ),
        # Half of the target's responses fail while a burst slows all versions.
        (
            VersionEvidence(good=14, failed=18, slow=10),
            VersionEvidence(good=250, failed=20, slow=130),
            True,
        ),
        # Both versions are slow in a burst.
        (
            VersionEvidence(good=20, slow=15),
            VersionEvidence(good=250, slow=130),
            False,
        ),
        # A slow version in a burst.
        (
            VersionEvidence(good=10, slow=25),
            VersionEvidence(good=250, slow=130),
            True,
        ),
        # Too few responses to tell.
        (
            VersionEvidence(good=15, slow=7),
            VersionEvidence(good=250, slow=40),
            False,
        ),
        # Only the target is slow.
        (VersionEvidence(good=10, slow=9), VersionEvidence(good=90), True),
        # One crowded upstream of a good version is slow for a moment.
        (VersionEvidence(good=37, slow=10), VersionEvidence(good=90), False),
    ],
)
def test_target_is_compared_with_the_other_versions(
    target: VersionEvidence, others: VersionEvidence, expected: bool
) -> None:
    assert is_regression(target, others) is expected


def test_sessions_move_at_most_once_and_not_in_the_canary() -> None:
    sessions = [f"session-{number}" for number in range(300)]
    canary = [
        runs_on_target(RolloutPhase.CANARY, 0, session, "id")
        for session in sessions
    ]
    assert not any(canary)
    moved: set[str] = set()
    for percent in (20, 50, 100):
        on_target = {
            session
            for session in sessions
            if runs_on_target(RolloutPhase.SHIFT, percent, session, "id")
        }
        assert moved <= on_target
        moved = on_target
    assert moved == set(sessions)


def test_steps_of_a_good_rollout_follow_its_schedule() -> None:
    fleet = _Fleet()
    order = _rollout(fleet, duration_ms=10_000)
    start_ms = fleet.clock.now_ms()
    evidence = {
        "v1": VersionEvidence(good=100),
        "v2": VersionEvidence(good=30),
    }
    seen: list[tuple[int, RolloutPhase, int]] = []
    for _ in range(110):
        step = next_step(
            fleet.view.rollouts["s"],
            fleet.view.records.get("s"),
            evidence,
            old_in_flight=1,
            now_ms=fleet.clock.now_ms(),
        )
        if step is not None:
            at = fleet.clock.now_ms() - start_ms
            seen.append((at, step.phase, step.percent))
            _record(fleet, order, step.phase, step.percent)
        fleet.clock.advance(100)
    phases = [(phase, percent) for _, phase, percent in seen]
    assert phases == [
        (RolloutPhase.CANARY, 0),
        (RolloutPhase.SHIFT, 20),
        (RolloutPhase.SHIFT, 50),
        (RolloutPhase.SHIFT, 100),
        (RolloutPhase.COMPLETED, 100),
    ]
    times = [at for at, _, _ in seen]
    assert times[1] > 5_000
    assert times[-1] < 10_000


def test_rollout_completes_sooner_if_the_old_version_is_idle() -> None:
    fleet = _Fleet()
    order = _rollout(fleet, duration_ms=10_000)
    _record(fleet, order, RolloutPhase.SHIFT, 100)
    rollout = fleet.view.rollouts["s"]
    known = fleet.view.records["s"]
    at_ms = rollout.seen_ms + 7_300
    busy = next_step(rollout, known, {}, 1, at_ms)
    idle = next_step(rollout, known, {}, 0, at_ms)
    assert busy is None
    assert idle is not None
    assert idle.phase is RolloutPhase.COMPLETED


def test_steps_keep_their_distance_after_a_store_outage() -> None:
    """The store was away until three of the steps were due."""
    fleet = _Fleet()
    order = _rollout(fleet, duration_ms=10_000)
    _record(fleet, order, RolloutPhase.CANARY)
    fleet.clock.advance(7_000)
    seen: list[tuple[int, int]] = []
    for _ in range(30):
        now_ms = fleet.clock.now_ms()
        known = fleet.view.records["s"]
        step = next_step(fleet.view.rollouts["s"], known, {}, 0, now_ms)
        if step is not None:
            seen.append((now_ms, step.percent))
            _record(fleet, order, step.phase, step.percent)
        fleet.clock.advance(100)
    assert [percent for _, percent in seen] == [20, 50, 100, 100]
    times = [at_ms for at_ms, _ in seen]
    assert all(b - a >= 700 for a, b in itertools.pairwise(times))


def test_bad_version_is_rolled_back_in_any_phase() -> None:
    fleet = _Fleet()
    order = _rollout(fleet)
    evidence = {
        "v1": VersionEvidence(good=100),
        "v2": VersionEvidence(good=4, failed=4),
    }
    for phase in (RolloutPhase.CANARY, RolloutPhase.SHIFT):
        _record(fleet, order, phase)
        step = next_step(
            fleet.view.rollouts["s"],
            fleet.view.records["s"],
            evidence,
            0,
            fleet.clock.now_ms(),
        )
        assert step is not None
        assert step.phase is RolloutPhase.ROLLED_BACK


@pytest.mark.parametrize(
    ("remaining_ms", "store_unavailable", "expected"),
    [
        (15_000, False, RETRY_SOON_MS),
        (0, True, RETRY_SOON_MS),
        (1_500, True, 450),
        (5_000, True, 1_500),
        (60_000, True, 5_000),
    ],
)
def test_retry_delay_in_a_store_outage_is_a_share_of_the_wait(
    remaining_ms: int, store_unavailable: bool, expected: int
) -> None:
    assert (
        retry_after_ms(remaining_ms, store_unavailable=store_unavailable)
        == expected
    )
